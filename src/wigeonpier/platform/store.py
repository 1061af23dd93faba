"""Client of the platform's key-value service."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import urlencode

import gevent
import msgspec
from result import Err, Ok, Result

from wigeonpier.platform import wire
from wigeonpier.platform.messages import (
    CommitBody,
    Committed,
    EventPage,
    GrantedLease,
    ItemPage,
    KeyGuard,
    KeyWrite,
    LeaseBody,
    StoredItem,
)
from wigeonpier.platform.port import (
    Change,
    Commit,
    Entry,
    Failure,
    Snapshot,
    Way,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.client import CallFailure
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import Reply
    from wigeonpier.web.pool import ConnectionPool

# A slowed service answers within 0.3 s; one that takes longer is away.
CALL_SECONDS = 1.2
# A watch that waits longer than the history is kept has to begin anew.
HISTORY_SHARE = 0.75
LONGEST_WATCH_SECONDS = 30.0
WATCH_SLACK_SECONDS = 2.0
LONGEST_CALL_SECONDS = LONGEST_WATCH_SECONDS + WATCH_SLACK_SECONDS
# What changes soon after a change is heard with it: when 28 replicas start, an
# entry calls 8 times instead of 31; every bound on news is 2 s or more.
GATHER_SECONDS = 0.2
CONFLICT = 412
LAPSED = 404
MILLISECONDS = 1000
UNAVAILABLE = 503
TURNED_AWAY = frozenset((429, UNAVAILABLE))
NOT_DONE = frozenset((400, 403, 404, 410, 412, 429, 503))

Model = TypeVar('Model')


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    target: str
    body: bytes = b''

    @property
    def name(self) -> str:
        """Give the path without query and ids."""
        return '/'.join(self.target.partition('?')[0].split('/')[:3])


class KeyValueStore:
    """Calls of the key-value service, one outcome each."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        metrics: Metrics,
        history_seconds: float,
    ) -> None:
        """Call the service at ``host:port``, which keeps so much history."""
        self._watch_seconds = min(
            LONGEST_WATCH_SECONDS,
            history_seconds * HISTORY_SHARE,
        )
        self._pool = pool
        self.address = address
        self.on_outcome: Callable[..., None] | None = None
        self.find_detour: Callable[[], Way | None] | None = None
        self._metrics = metrics

    def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key.

        :param key: its name.
        :returns: the key, ``None`` where it does not exist.
        """
        replied = self._send('GET', wire.KEY_PATH, {wire.KEY: key})
        if isinstance(replied, Err):
            return Err(Failure.unavailable)
        reply = replied.ok_value
        if reply.status == LAPSED:
            return Ok(None)
        if not reply.is_good:
            return Err(Failure.unavailable)
        return Ok(_make_entry(reply.decode(StoredItem)))

    def ask_sign(self, patience: float) -> None:
        """Ask for a sign of life, at the least cost.

        :param patience: longest silence, seconds.
        """
        query = {wire.KEY: wire.OPERATOR_CONFIGURATION, wire.MAY_BE_OLD: 1}
        call = _Call('GET', f'{wire.KEY_PATH}?{urlencode(query)}')
        self._send_by(None, call, patience)

    def list_prefix(
        self,
        prefix: str,
        patience: float = CALL_SECONDS,
    ) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix.

        Pages are not a snapshot: keys of later pages may be newer than the
        revision that is given, which is that of the first page.

        :param prefix: start of the keys.
        :param patience: longest silence, seconds.
        :returns: the keys, and the revision from which a watch goes on.
        """
        entries: list[Entry] = []
        revision = 0
        query = {wire.PREFIX: prefix}
        while True:
            replied = self._send(
                'GET',
                wire.RANGE_PATH,
                query,
                patience=patience,
            )
            if isinstance(replied, Err) or not replied.ok_value.is_good:
                return Err(Failure.unavailable)
            page = replied.ok_value.decode(ItemPage)
            revision = revision or page.revision
            entries += [_make_entry(found) for found in page.items]
            if not page.more:
                return Ok(Snapshot(tuple(entries), revision))
            query = {wire.PREFIX: prefix, wire.AFTER: page.items[-1].key}

    def commit(
        self,
        change: Commit,
        patience: float = CALL_SECONDS,
    ) -> Result[int, Failure]:
        """Change keys, all or none of them.

        :param change: conditions and changes.
        :param patience: longest silence, seconds.
        :returns: the new revision; ``unknown`` where the answer was lost.
        """
        body = CommitBody(
            [
                KeyGuard(key, revision)
                for key, revision in change.guards.items()
            ],
            [
                KeyWrite(key, base64.b64encode(value).decode(), change.lease)
                for key, value in change.writes.items()
            ],
            list(change.deletes),
        )
        replied = self._send(
            'POST',
            wire.COMMIT_PATH,
            {},
            body,
            patience=patience,
        )
        return _judge(replied).map(
            lambda reply: reply.decode(Committed).revision,
        )

    def grant_lease(self, seconds: float) -> Result[int, Failure]:
        """Get a lease that ends unless it is renewed.

        :param seconds: its time to live.
        :returns: its id.
        """
        body = LeaseBody(int(seconds * MILLISECONDS))
        replied = self._send('POST', wire.LEASE_PATH, {}, body)
        return _judge(replied).map(
            lambda reply: reply.decode(GrantedLease).lease
        )

    def keep_lease(self, lease: int) -> Result[bool, Failure]:
        """Renew a lease.

        :param lease: its id.
        :returns: false where it has ended.
        """
        replied = self._send('POST', f'{wire.KEEP_PATH}{lease}', {}, {})
        if isinstance(replied, Ok) and replied.ok_value.status == LAPSED:
            return Ok(False)
        return _judge(replied).map(lambda _reply: True)

    def end_lease(self, lease: int) -> Result[bool, Failure]:
        """End a lease and remove its keys.

        :param lease: its id.
        :returns: true where the service confirmed it.
        """
        replied = self._send('DELETE', f'{wire.END_PATH}{lease}', {})
        return _judge(replied).map(lambda _reply: True)

    def watch(self, prefix: str, revision: int) -> Iterator[Change]:
        """Yield changes after a revision; ends when the service is lost.

        :param prefix: start of the keys.
        :param revision: revision that was seen last.
        :yields: changes in order.
        """
        while True:
            heard = self.await_changes(
                prefix,
                revision,
                self._watch_seconds,
            )
            if isinstance(heard, Err):
                return
            changes, revision = heard.ok_value
            yield from changes
            if changes:
                gevent.sleep(GATHER_SECONDS)

    def await_changes(
        self,
        prefix: str,
        revision: int,
        seconds: float,
    ) -> Result[tuple[list[Change], int], Failure]:
        """Wait for changes after a revision.

        :param prefix: start of the keys.
        :param revision: revision that was seen last.
        :param seconds: longest wait.
        :returns: the changes, none where the time is up, and the revision
            to go on from; a failure also where this history is gone.
        """
        query = {
            wire.PREFIX: prefix,
            wire.AFTER: revision,
            wire.WATCH_WAIT_MS: int(seconds * MILLISECONDS),
        }
        replied = self._send(
            'GET',
            wire.WATCH_PATH,
            query,
            patience=seconds + WATCH_SLACK_SECONDS,
        )
        if isinstance(replied, Err) or not replied.ok_value.is_good:
            return Err(Failure.unavailable)
        heard = replied.ok_value.decode(EventPage)
        changes = [_make_change(event) for event in heard.events]
        return Ok((changes, heard.revision or revision))

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: object = None,
        *,
        patience: float = CALL_SECONDS,
    ) -> Result[Reply, CallFailure]:
        """Send a call; by a detour where the store does not answer here."""
        target = f'{path}?{urlencode(query)}' if query else path
        content = b'' if body is None else msgspec.json.encode(body)
        call = _Call(method, target, content)
        detour = self._get_detour()
        replied = self._send_by(detour, call, patience)
        if detour is None and _may_go_again(call, replied):
            detour = self._get_detour()
            if detour is not None:
                return self._send_by(detour, call, patience)
        return replied

    def _get_detour(self) -> Way | None:
        return self.find_detour() if self.find_detour else None

    def _send_by(
        self,
        detour: Way | None,
        call: _Call,
        patience: float,
    ) -> Result[Reply, CallFailure]:
        way = detour or Way(self.address)
        headers = [
            ('Host', way.address),
            ('Content-Type', 'application/json'),
        ]
        raw = make_request(
            call.method,
            way.prefix + call.target,
            headers,
            call.body,
        )
        began = time.monotonic()
        replied = self._pool.call(way.address, raw, patience)
        if detour is None and self.on_outcome is not None:
            self.on_outcome(began, is_answered=_is_answered(replied))
        self._note(call, replied, time.monotonic() - began, detour)
        return replied

    def _note(
        self,
        call: _Call,
        replied: Result[Reply, CallFailure],
        seconds: float,
        detour: Way | None,
    ) -> None:
        if isinstance(replied, Err):
            outcome = replied.err_value.value
        else:
            outcome = str(replied.ok_value.status)
        self._metrics.count(
            'store_calls_total', call=call.name, outcome=outcome
        )
        if call.name != wire.WATCH_PATH:
            self._metrics.observe('store_call', seconds, call=call.name)
        if not _is_answered(replied):
            log_event(
                Event.platform_failed,
                call=call.name,
                outcome=outcome,
                seconds=round(seconds, 3),
                carried_by=detour.address if detour else '',
            )


def _is_answered(replied: Result[Reply, CallFailure]) -> bool:
    """Tell whether the store dealt with a call."""
    if isinstance(replied, Err):
        return False
    return replied.ok_value.status not in TURNED_AWAY


def _may_go_again(
    call: _Call,
    replied: Result[Reply, CallFailure],
) -> bool:
    """Tell whether a call may be sent once more.

    Not where the store says that all together call too often, nor where a
    write may have been done.  Nor a watch: its history may be gone as it is
    cut, and one that went on from its revision missed a configuration.
    """
    if call.name == wire.WATCH_PATH:
        return False
    if isinstance(replied, Err):
        is_unsent = replied.err_value is CallFailure.not_sent
        return is_unsent or call.method == 'GET'
    return replied.ok_value.status == UNAVAILABLE


def _judge(
    replied: Result[Reply, CallFailure],
) -> Result[Reply, Failure]:
    if isinstance(replied, Err):
        not_sent = replied.err_value is CallFailure.not_sent
        return Err(Failure.unavailable if not_sent else Failure.unknown)
    reply = replied.ok_value
    if reply.is_good:
        return Ok(reply)
    if reply.status == CONFLICT:
        return Err(Failure.conflict)
    if reply.status == LAPSED:
        return Err(Failure.lapsed)
    if reply.status in NOT_DONE:
        return Err(Failure.unavailable)
    return Err(Failure.unknown)


def _make_entry(found: StoredItem) -> Entry:
    return Entry(
        found.key,
        base64.b64decode(found.value),
        found.revision,
        found.created,
    )


def _make_change(event: StoredItem) -> Change:
    value = None if event.is_gone else base64.b64decode(event.value)
    return Change(event.key, value, event.revision, event.created)
