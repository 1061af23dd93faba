"""Sends records of streams to their keepers, and asks these for records."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent
import msgspec
from result import Err

from wigeonpier.hosted.originkeeper import (
    ORIGINS_PATH,
    SEARCH_PATH,
    OriginAnswer,
    OriginReport,
    OriginSearch,
)
from wigeonpier.policy.keeperring import KeeperRing, make_ring
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import HostSettings
    from wigeonpier.policy.streamorigin import StreamOrigin
    from wigeonpier.web.pool import ConnectionPool

# Collects the streams that begin at the same moment into one call.
BATCH_SECONDS = 0.003
COPIES = 2
# Asked in pairs; the second pair has the record if keepers came or went since.
MAX_ASKED = 4
# A worker in the same region answers within 10 ms.  A caller waits for both
# pairs, so that a stream of which nothing is known is refused early.
ASK_SECONDS = 0.1
SEND_SECONDS = 0.4


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
        self._pending: dict[str, StreamOrigin] = {}
        self._ring = make_ring(())
        # Change of the register that the ring was made at.
        self._ring_change = -1

    def publish(self, key: str, origin: StreamOrigin) -> None:
        """Send a record to its keepers, in the background.

        :param key: key of the attempt.
        :param origin: what began the stream.
        """
        if not self._pending:
            gevent.spawn_later(BATCH_SECONDS, self._send_pending)
        self._pending[key] = origin

    def search(self, key: str) -> StreamOrigin | None:
        """Ask the keepers of a record for it.

        :param key: key of the attempt.
        :returns: what began the stream, ``None`` if no keeper has it or
            answers.
        """
        hosts = self._update_ring().choose(key, MAX_ASKED)
        for start in range(0, len(hosts), COPIES):
            found = self._ask_all(hosts[start : start + COPIES], key)
            if found is not None:
                return found
        return None

    def resend(self, address: str, records: dict[str, StreamOrigin]) -> None:
        """Send records to a worker that may have just started.

        :param address: address of its upstream.
        :param records: origins by key of the attempt; it gets those of which
            it is a keeper.
        """
        host = split_address(address)[0]
        ring = self._update_ring()
        kept = {
            key: origin
            for key, origin in records.items()
            if host in ring.choose(key, COPIES)
        }
        if kept:
            gevent.spawn(self._send, host, kept)

    def _send_pending(self) -> None:
        pending = self._pending
        self._pending = {}
        ring = self._update_ring()
        chosen = {key: ring.choose(key, COPIES + 1) for key in pending}
        failed = self._send_all(
            pending, ((key, chosen[key][:COPIES]) for key in pending)
        )
        # The next keeper on the ring is the third one that is asked.
        self._send_all(pending, ((key, chosen[key][COPIES:]) for key in failed))

    def _send_all(
        self,
        pending: dict[str, StreamOrigin],
        keepers: Iterable[tuple[str, list[str]]],
    ) -> set[str]:
        """Send records to their keepers.

        :returns: keys of those that not all of their keepers got.
        """
        by_host: defaultdict[str, dict[str, StreamOrigin]] = defaultdict(dict)
        for stream, hosts in keepers:
            for host in hosts:
                by_host[host][stream] = pending[stream]
        sends = [gevent.spawn(self._send, *batch) for batch in by_host.items()]
        gevent.joinall(sends)
        return {failed for send in sends for failed in send.value or ()}

    def _send(
        self, host: str, records: dict[str, StreamOrigin]
    ) -> frozenset[str]:
        """Send records to one keeper; return the keys that it did not get."""
        body = msgspec.json.encode(OriginReport(records))
        raw, address = self._make_call(host, ORIGINS_PATH, body)
        called = self._pool.call(address, raw, SEND_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            return frozenset(records)
        return frozenset()

    def _ask_all(self, hosts: list[str], key: str) -> StreamOrigin | None:
        """Ask some keepers at once, and use the first record."""
        asks = [gevent.spawn(self._ask, host, key) for host in hosts]
        for ask in gevent.iwait(asks, timeout=ASK_SECONDS):
            if ask.value is not None:
                return ask.value
        return None

    def _ask(self, host: str, key: str) -> StreamOrigin | None:
        body = msgspec.json.encode(OriginSearch(key))
        raw, address = self._make_call(host, SEARCH_PATH, body)
        called = self._pool.call(address, raw, ASK_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            return None
        return called.ok_value.decode(OriginAnswer).origin

    def _make_call(
        self, host: str, path: str, body: bytes
    ) -> tuple[bytes, str]:
        # Workers listen at the same port on their VMs as this process here.
        address = f'{host}:{self._port}'
        return make_request('POST', path, [('Host', address)], body), address

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
