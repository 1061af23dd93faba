"""Client of the platform's key-value service."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
from result import Err, Ok, Result

from wigeonpier.platform import wire
from wigeonpier.platform.calls import StoreCalls, make_call
from wigeonpier.platform.messages import (
    CommitBody,
    Committed,
    EventPage,
    GrantedLease,
    ItemPage,
    KeyGuard,
    KeyWrite,
    LeaseBody,
    RevisionOnly,
    StoredItem,
)
from wigeonpier.platform.port import (
    Change,
    Commit,
    Entry,
    Failure,
    Snapshot,
)
from wigeonpier.platform.storelimits import StoreLimits
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.client import CallFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wigeonpier.policy.watchplan import WatchPlan
    from wigeonpier.telemetry.metrics import Metrics
    from wigeonpier.web.client import Reply
    from wigeonpier.web.pool import ConnectionPool

# A slow service still answers within 0.3 s; one that exceeds this time is
# treated as unreachable.
CALL_TIMEOUT_SECONDS = 1.2
# The service keeps no call waiting for longer.
MAX_WATCH_SECONDS = 30.0
# Pause before the next call of a watch, so that changes in quick succession
# arrive in one answer: when 28 replicas start, an entry makes 8 calls instead
# of 31.  All limits on the delay of updates are 2 s or more.
GATHER_SECONDS = 0.2
PRECONDITION_FAILED = 412
NOT_FOUND = 404
MILLISECONDS = 1000
DEFAULT_LIMITS = StoreLimits()
NOT_APPLIED_STATUSES = frozenset((404, 410, 412, 429, 503))
REJECTED_STATUSES = frozenset((400, 403, 413))
# A large job takes longer than the calls for which time-outs are chosen.
MIN_BYTES_PER_SECOND = 4_000_000


class KeyValueStore:
    """Client of the key-value service; calls return a value or a failure."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        metrics: Metrics,
        plan: WatchPlan,
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create a client of the service.

        :param pool: connections to other processes.
        :param address: ``host:port`` of the service.
        :param metrics: counts and measures calls.
        :param plan: how long watches wait.
        :param limits: what the service accepts in one commit.
        """
        self.plan = plan
        self.limits = limits
        self.calls = StoreCalls(pool, address, metrics)

    def get(
        self,
        key: str,
        *,
        allow_stale: bool = False,
    ) -> Result[Entry | None, Failure]:
        """Read one key.

        :param key: its name.
        :param allow_stale: whether the value may be some seconds old; such a
            read costs a tenth of another one.
        :returns: the key, ``None`` where it does not exist.
        """
        query = {wire.KEY: key} | _make_stale_query(allow_stale=allow_stale)
        replied = self._send('GET', wire.KEY_PATH, query)
        if isinstance(replied, Err):
            return Err(Failure.unavailable)
        reply = replied.ok_value
        if reply.status == NOT_FOUND:
            return Ok(None)
        if not reply.is_good:
            return Err(Failure.unavailable)
        return Ok(_make_entry(reply.decode(StoredItem)))

    def read_revision(self, key: str) -> Result[int, Failure]:
        """Read the revision of a key without decoding its value.

        :param key: its name.
        :returns: the revision, 0 where the key does not exist.
        """
        replied = self._send('GET', wire.KEY_PATH, {wire.KEY: key})
        if isinstance(replied, Err):
            return Err(Failure.unavailable)
        reply = replied.ok_value
        if reply.status == NOT_FOUND:
            return Ok(0)
        if not reply.is_good:
            return Err(Failure.unavailable)
        return Ok(reply.decode(RevisionOnly).revision)

    def probe(self, timeout: float) -> None:
        """Probe whether the service answers, with the cheapest read.

        The result goes to ``calls.on_outcome``.

        :param timeout: longest time without any data, seconds.
        """
        query = {wire.KEY: wire.OPERATOR_CONFIGURATION, wire.ALLOW_STALE: 1}
        call = make_call('GET', wire.KEY_PATH, query)
        self.calls.send_directly(call, timeout)

    def list_prefix(
        self,
        prefix: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        *,
        allow_stale: bool = False,
    ) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix.

        Pages are not a snapshot: the returned revision is that of the first
        page, and keys of later pages may be newer.

        :param prefix: start of the keys.
        :param timeout: longest time without any data, seconds.
        :param allow_stale: whether the values may be some seconds old; such a
            read costs a tenth of another one.
        :returns: the keys, and the revision after which a watch continues.
        """
        entries: list[Entry] = []
        revision = 0
        stale = _make_stale_query(allow_stale=allow_stale)
        query: dict[str, Any] = {wire.PREFIX: prefix} | stale
        while True:
            replied = self._send(
                'GET',
                wire.RANGE_PATH,
                query,
                timeout=timeout,
            )
            if isinstance(replied, Err) or not replied.ok_value.is_good:
                return Err(Failure.unavailable)
            page = replied.ok_value.decode(ItemPage)
            revision = revision or page.revision
            entries += [_make_entry(found) for found in page.items]
            if not page.more:
                return Ok(Snapshot(tuple(entries), revision))
            query[wire.AFTER] = page.items[-1].key

    def commit(
        self,
        change: Commit,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[int, Failure]:
        """Change keys atomically.

        :param change: conditions and changes.
        :param timeout: longest time without any data, seconds.
        :returns: the new revision; ``unknown`` where the answer was lost,
            ``rejected`` where the change exceeds a limit of the service.
        """
        excess = self.limits.find_excess(change)
        if excess:
            log_event(Event.platform_rejected, excess=excess)
            return Err(Failure.rejected)
        size = sum(map(len, change.writes.values()))
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
            timeout=timeout + size / MIN_BYTES_PER_SECOND,
        )
        return _classify_reply(replied).map(
            lambda reply: reply.decode(Committed).revision,
        )

    def grant_lease(
        self, seconds: float, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> Result[int, Failure]:
        """Get a lease that expires unless it is renewed.

        :param seconds: time to live of the lease.
        :param timeout: longest time without any data, seconds.
        :returns: its id.
        """
        body = LeaseBody(int(seconds * MILLISECONDS))
        replied = self._send('POST', wire.LEASE_PATH, {}, body, timeout=timeout)
        return _classify_reply(replied).map(
            lambda reply: reply.decode(GrantedLease).lease
        )

    def renew_lease(self, lease: int) -> Result[bool, Failure]:
        """Renew a lease.

        :param lease: its id.
        :returns: false where it has expired.
        """
        replied = self._send('POST', f'{wire.RENEW_PATH}{lease}', {}, {})
        if isinstance(replied, Ok) and replied.ok_value.status == NOT_FOUND:
            return Ok(False)
        return _classify_reply(replied).map(lambda _reply: True)

    def revoke_lease(self, lease: int) -> Result[bool, Failure]:
        """Revoke a lease, which removes its keys.

        :param lease: its id.
        :returns: true where the service confirmed it.
        """
        replied = self._send('DELETE', f'{wire.REVOKE_PATH}{lease}', {})
        return _classify_reply(replied).map(lambda _reply: True)

    def watch(
        self,
        prefix: str,
        revision: int,
        pause: Callable[[float], object] = gevent.sleep,
        choose_wait: Callable[[], float] | None = None,
    ) -> Iterator[Change]:
        """Yield changes after a revision until a call fails.

        A call fails too if its answer is lost, which the end of its wait shows.

        :param prefix: start of the keys.
        :param revision: last revision that the caller has seen.
        :param pause: waits for a number of seconds between changes and the
            next call, or less where the next changes are needed earlier.
        :param choose_wait: chooses the wait of the next call, seconds; by
            default that of a view by which nothing is decided.
        :yields: changes in order.
        """
        while True:
            seconds = choose_wait() if choose_wait else self.plan.background
            received = self.await_changes(prefix, revision, seconds)
            if isinstance(received, Err):
                return
            changes, revision = received.ok_value
            yield from changes
            if changes:
                pause(GATHER_SECONDS)

    def await_changes(
        self,
        prefix: str,
        revision: int,
        seconds: float,
    ) -> Result[tuple[list[Change], int], Failure]:
        """Wait for changes after a revision.

        :param prefix: start of the keys.
        :param revision: last revision that the caller has seen.
        :param seconds: longest wait.
        :returns: the changes, none where there were none in time, and the
            revision to continue from; a failure also where the service no
            longer keeps changes since ``revision``.
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
            timeout=seconds + self.plan.answer,
        )
        if isinstance(replied, Err) or not replied.ok_value.is_good:
            return Err(Failure.unavailable)
        received = replied.ok_value.decode(EventPage)
        changes = [_make_change(event) for event in received.events]
        return Ok((changes, received.revision or revision))

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: object = None,
        *,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[Reply, CallFailure]:
        return self.calls.send(make_call(method, path, query, body), timeout)


@dataclass(frozen=True, slots=True)
class TimedStore:
    """The calls of one view, whose watch waits as long as the view chooses.

    :param store: client of the service.
    :param choose_wait: chooses the wait of the next call of the watch, seconds.
    """

    store: KeyValueStore
    choose_wait: Callable[[], float]

    def list_prefix(self, prefix: str) -> Result[Snapshot, Failure]:
        """Read all keys under a prefix."""
        return self.store.list_prefix(prefix)

    def watch(
        self,
        prefix: str,
        revision: int,
        pause: Callable[[float], object] = gevent.sleep,
    ) -> Iterator[Change]:
        """Yield changes after a revision until a call fails."""
        return self.store.watch(prefix, revision, pause, self.choose_wait)


def find_call_seconds(method: str, target: str) -> float:
    """Find how long the caller of the service may wait for an answer.

    A relay that waits longer may let a write take effect after its caller has
    left and its fence has ended.

    :param method: HTTP method.
    :param target: path with query.
    :returns: longest time without any data, seconds.
    """
    is_watch = method == 'GET' and target.partition('?')[0] == wire.WATCH_PATH
    return MAX_WATCH_SECONDS if is_watch else CALL_TIMEOUT_SECONDS


def _make_stale_query(*, allow_stale: bool) -> dict[str, int]:
    return {wire.ALLOW_STALE: 1} if allow_stale else {}


def _classify_reply(
    replied: Result[Reply, CallFailure],
) -> Result[Reply, Failure]:
    if isinstance(replied, Err):
        not_sent = replied.err_value is CallFailure.not_sent
        return Err(Failure.unavailable if not_sent else Failure.unknown)
    reply = replied.ok_value
    if reply.is_good:
        return Ok(reply)
    if reply.status == PRECONDITION_FAILED:
        return Err(Failure.conflict)
    if reply.status == NOT_FOUND:
        return Err(Failure.lapsed)
    return Err(_classify_status(reply.status))


def _classify_status(status: int) -> Failure:
    """Classify any other failure of a call by the status of its answer."""
    if status in REJECTED_STATUSES:
        log_event(Event.platform_rejected, excess=f'status {status}')
        return Failure.rejected
    if status in NOT_APPLIED_STATUSES:
        return Failure.unavailable
    return Failure.unknown


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
