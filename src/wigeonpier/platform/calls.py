"""Calls to the key-value service, sent directly or through a relay."""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec
from result import Err, Result

from wigeonpier.platform import wire
from wigeonpier.platform.port import StorePath
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import Reply
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.pool import ConnectionPool

UNAVAILABLE = 503
REJECTED_STATUSES = frozenset((429, UNAVAILABLE))


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call of the key-value service.

    :param method: HTTP method.
    :param target: path with query.
    :param body: its bytes.
    """

    method: str
    target: str
    body: bytes = b''

    @property
    def name(self) -> str:
        """Return the path without query and ids."""
        return '/'.join(self.target.partition('?')[0].split('/')[:3])


def make_call(
    method: str,
    path: str,
    query: dict[str, Any],
    body: object = None,
) -> Call:
    """Build a call.

    :param method: HTTP method.
    :param path: path of the service.
    :param query: names and values of the query.
    :param body: value to encode as JSON, ``None`` for an empty body.
    :returns: the call.
    """
    target = f'{path}?{urlencode(query)}' if query else path
    content = b'' if body is None else msgspec.json.encode(body)
    return Call(method, target, content)


class StoreCalls:
    """Sends calls, and reports the outcomes of those that are sent directly.

    ``on_outcome`` is called after each direct call.  ``find_relay_path`` gives the
    relay to use while the service is unreachable, ``None`` for no relay.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        metrics: Metrics,
    ) -> None:
        """Create a sender without a relay.

        :param pool: connections to other processes.
        :param address: ``host:port`` of the service.
        :param metrics: counts and measures calls.
        """
        self.address = address
        self.on_outcome: Callable[..., None] | None = None
        self.find_relay_path: Callable[[], StorePath | None] = lambda: None
        self._pool = pool
        self._metrics = metrics
        # Watches in flight and their start times on the monotonic clock.
        self._watches: dict[Exchange, float] = {}

    def abort_watches(self, since: float) -> None:
        """Abort the watches that were started after a moment.

        A watch that reached the service while it answered no calls is never
        answered, so its caller would receive no changes until the timeout.

        :param since: seconds of the monotonic clock.
        """
        for watch, started_at in list(self._watches.items()):
            if started_at > since:
                watch.abort()

    def send(self, call: Call, timeout: float) -> Result[Reply, CallFailure]:
        """Send a call, through a relay where the service is unreachable.

        :param call: the call.
        :param timeout: longest time without any data, seconds.
        :returns: the answer.
        """
        relay = self.find_relay_path()
        if relay is not None:
            return self._send_by(relay, call, timeout)
        replied = self.send_directly(call, timeout)
        relay = self.find_relay_path() if _may_resend(call, replied) else None
        if relay is None:
            return replied
        return self._send_by(relay, call, timeout)

    def send_directly(
        self,
        call: Call,
        timeout: float,
    ) -> Result[Reply, CallFailure]:
        """Send a call without a relay.

        :param call: the call.
        :param timeout: longest time without any data, seconds.
        :returns: the answer.
        """
        started_at = time.monotonic()
        replied = self._send_by(StorePath(self.address), call, timeout)
        if self.on_outcome is not None:
            self.on_outcome(started_at, is_answered=_is_answered(replied))
        return replied

    def _send_by(
        self,
        store_path: StorePath,
        call: Call,
        timeout: float,
    ) -> Result[Reply, CallFailure]:
        headers = [
            ('Host', store_path.address),
            ('Content-Type', 'application/json'),
        ]
        target = store_path.prefix + call.target
        raw = make_request(call.method, target, headers, call.body)
        started_at = time.monotonic()
        replied = self._call(store_path, call, raw, timeout)
        self._record(call, replied, time.monotonic() - started_at, store_path)
        return replied

    def _call(
        self,
        store_path: StorePath,
        call: Call,
        raw: bytes,
        timeout: float,
    ) -> Result[Reply, CallFailure]:
        if call.name != wire.WATCH_PATH:
            return self._pool.call(store_path.address, raw, timeout)
        with ExitStack() as cleanup:

            def register(watch: Exchange) -> None:
                self._watches[watch] = time.monotonic()
                cleanup.callback(self._watches.pop, watch)

            return self._pool.call(store_path.address, raw, timeout, register)

    def _record(
        self,
        call: Call,
        replied: Result[Reply, CallFailure],
        seconds: float,
        store_path: StorePath,
    ) -> None:
        if isinstance(replied, Err):
            outcome = replied.err_value.value
        else:
            outcome = str(replied.ok_value.status)
        self._metrics.count(
            'store_calls_total',
            call=call.name,
            outcome=outcome,
        )
        if call.name != wire.WATCH_PATH:
            self._metrics.observe('store_call', seconds, call=call.name)
        if not _is_answered(replied):
            log_event(
                Event.platform_failed,
                call=call.name,
                outcome=outcome,
                seconds=round(seconds, 3),
                carried_by=store_path.address if store_path.prefix else '',
            )


def _is_answered(replied: Result[Reply, CallFailure]) -> bool:
    """Tell whether the service processed a call."""
    if isinstance(replied, Err):
        return False
    return replied.ok_value.status not in REJECTED_STATUSES


def _may_resend(call: Call, replied: Result[Reply, CallFailure]) -> bool:
    """Tell whether a call may be sent again, through a relay.

    Not where the service reports too many calls of all processes together,
    and not where a write may have taken effect.  A watch is not sent again
    either: the service may no longer have the changes since its revision, and
    a watch that continued from there missed a configuration.
    """
    if call.name == wire.WATCH_PATH:
        return False
    if isinstance(replied, Err):
        is_unsent = replied.err_value is CallFailure.not_sent
        return is_unsent or call.method == 'GET'
    return replied.ok_value.status == UNAVAILABLE
