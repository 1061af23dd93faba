"""Sends records of streams to their keepers, and asks these for records."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Ok

from wigeonpier.hosted.originkeeper import (
    ORIGINS_PATH,
    SEARCH_PATH,
    OriginAnswer,
    OriginReport,
    OriginSearch,
)
from wigeonpier.hosted.origintable import PlacedOrigin
from wigeonpier.policy.keeperring import KeeperRing, make_ring
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import HostSettings
    from wigeonpier.policy.streamorigin import StreamOrigin
    from wigeonpier.web.client import Reply
    from wigeonpier.web.pool import ConnectionPool

# Collects the streams that begin at the same moment into one call.
BATCH_SECONDS = 0.003
COPIES = 2
# Keepers that may have a record.  The second pair has it if keepers came or
# went since, or one of the first pair did not answer.
MAX_KEEPERS = 4
# A worker in the same region answers within 10 ms, a process that has just
# started or is overloaded later.  A caller waits twice as long at most, for
# its stream is over after a pause of two seconds.
ASK_SECONDS = 0.25
SEND_SECONDS = 0.4
# Open connections may be dead without a reset, so the second try is on a new
# one.
TRIES = 2


class OriginKeepers:
    """The workers that keep records of streams for all entries."""

    def __init__(
        self,
        settings: HostSettings,
        replicas: ReplicaRegister,
        pool: ConnectionPool,
    ) -> None:
        """Find the keepers from the register.

        :param settings: settings of the process.
        :param replicas: upstreams, on whose VMs the keepers are.
        :param pool: connections to the keepers.
        """
        self._region = settings.region
        self._port = split_address(settings.peers)[1]
        self._replicas = replicas
        self._pool = pool
        self._pending: dict[str, PlacedOrigin] = {}
        self._ring = make_ring(())
        # The ring, and its change of the register, when records were moved.
        self._placed_ring = self._ring
        self._placed_change = -1
        # Change of the register that the ring was made at.
        self._ring_change = -1

    def publish(self, key: str, origin: StreamOrigin, place: str = '') -> None:
        """Send a record to its keepers, in the background.

        :param key: key of the record.
        :param origin: what began the stream.
        :param place: key by which its keepers are chosen, its own by default.
        """
        if not self._pending:
            gevent.spawn_later(BATCH_SECONDS, self._send_pending)
        self._pending[key] = PlacedOrigin(place or key, origin)

    def search(self, key: str, place: str = '') -> StreamOrigin | None:
        """Ask the keepers of a record for it.

        :param key: key of the record.
        :param place: key by which its keepers are chosen, its own by default.
        :returns: what began the stream, ``None`` if no keeper has it or
            answers.
        """
        hosts = self._update_ring().choose(place or key, MAX_KEEPERS)
        for start in range(0, len(hosts), COPIES):
            found = self._ask_all(hosts[start : start + COPIES], key)
            if found is not None:
                return found
        return None

    def resend(self, address: str, records: dict[str, PlacedOrigin]) -> None:
        """Send records to a worker that may have just started.

        :param address: address of its upstream.
        :param records: origins by key of the record; it gets those of which
            it is a keeper.
        """
        host = split_address(address)[0]
        ring = self._update_ring()
        kept = {
            key: placed.origin
            for key, placed in records.items()
            if host in ring.choose(placed.place, COPIES)
        }
        if kept:
            gevent.spawn(self._send, host, kept)

    def has_moved(self) -> bool:
        """Check whether workers came or went since records were sent.

        :returns: true if :meth:`move` has to be called.
        """
        return self._placed_change != self._replicas.changes

    def move(self, records: dict[str, PlacedOrigin]) -> None:
        """Send records to those that have become their keepers.

        Else a record is lost once both of its keepers have left, as with the
        replicas of a version that is replaced.

        :param records: origins by key of the record.
        """
        former = self._placed_ring
        ring = self._update_ring()
        self._placed_ring = ring
        self._placed_change = self._ring_change
        by_host: defaultdict[str, dict[str, StreamOrigin]] = defaultdict(dict)
        for key, placed in records.items():
            known = former.choose(placed.place, COPIES)
            for host in ring.choose(placed.place, COPIES):
                if host not in known:
                    by_host[host][key] = placed.origin
        for batch in by_host.items():
            gevent.spawn(self._send, *batch)

    def _send_pending(self) -> None:
        pending = self._pending
        self._pending = {}
        ring = self._update_ring()
        chosen = {
            key: ring.choose(placed.place, MAX_KEEPERS)
            for key, placed in pending.items()
        }
        failed = self._send_all(
            pending, ((key, chosen[key][:COPIES]) for key in pending)
        )
        self._send_all(pending, ((key, chosen[key][COPIES:]) for key in failed))

    def _send_all(
        self,
        pending: dict[str, PlacedOrigin],
        keepers: Iterable[tuple[str, list[str]]],
    ) -> set[str]:
        """Send records to their keepers.

        :returns: keys of those that not all of their keepers got.
        """
        by_host: defaultdict[str, dict[str, StreamOrigin]] = defaultdict(dict)
        for stream, hosts in keepers:
            for host in hosts:
                by_host[host][stream] = pending[stream].origin
        sends = [gevent.spawn(self._send, *batch) for batch in by_host.items()]
        gevent.joinall(sends)
        return {failed for send in sends for failed in send.value or ()}

    def _send(
        self, host: str, records: dict[str, StreamOrigin]
    ) -> frozenset[str]:
        """Send records to one keeper; return the keys that it did not get."""
        body = msgspec.json.encode(OriginReport(records))
        reply = self._call(host, ORIGINS_PATH, body, SEND_SECONDS)
        return frozenset() if reply else frozenset(records)

    def _ask_all(self, hosts: list[str], key: str) -> StreamOrigin | None:
        """Ask some keepers at once, and use the first record."""
        asks = [gevent.spawn(self._ask, host, key) for host in hosts]
        for ask in gevent.iwait(asks, timeout=ASK_SECONDS):
            if ask.value is not None:
                return ask.value
        return None

    def _ask(self, host: str, key: str) -> StreamOrigin | None:
        body = msgspec.json.encode(OriginSearch(key))
        reply = self._call(host, SEARCH_PATH, body, ASK_SECONDS)
        return reply.decode(OriginAnswer).origin if reply else None

    def _call(
        self, host: str, path: str, body: bytes, seconds: float
    ) -> Reply | None:
        """Call a keeper, once more if the first connection does not work."""
        # Workers listen at the same port on their VMs as this process here.
        address = f'{host}:{self._port}'
        raw = make_request('POST', path, [('Host', address)], body)
        for _ in range(TRIES):
            called = self._pool.call(address, raw, seconds / TRIES)
            if isinstance(called, Ok):
                return called.ok_value if called.ok_value.is_good else None
            self._pool.forget(address)
        return None

    def _update_ring(self) -> KeeperRing:
        """Return the ring of the workers whose upstreams are not leaving.

        Workers of other regions are used only where there are none in this
        one, since regions lose each other for long.
        """
        if self._ring_change == self._replicas.changes:
            return self._ring
        self._ring_change = self._replicas.changes
        states = [
            state
            for state in self._replicas.upstreams.values()
            if not state.is_leaving
        ]
        near = [state for state in states if state.region == self._region]
        self._ring = make_ring(
            split_address(state.address)[0] for state in near or states
        )
        return self._ring
