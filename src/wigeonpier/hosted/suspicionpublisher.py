"""Publishes updates on suspected requests to other processes.

An entry sends an update to a few workers, and each worker sends it to all
entries that follow its load feed: two hops, about 10 ms.  An entry that
receives new facts forwards them to one more worker, so that they spread even
where each entry follows only a part of the upstreams.  The store is not
involved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import msgspec

from wigeonpier.hosted.suspicionhandler import NEWS_PATH
from wigeonpier.membership.suspicions import PROPAGATION_SECONDS
from wigeonpier.membership.updates import (
    SuspicionUpdate,
    combine_updates,
)
from wigeonpier.settings.process import split_address
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.web.pool import ConnectionPool

# Collects the requests that are lost with one upstream into one update.
BATCH_SECONDS = 0.003
SEND_TIMEOUT_SECONDS = 0.5
# Workers that an update from this entry is sent to; some may be down.
OWN_UPDATE_RECIPIENTS = 4
# Workers that an update from another process is forwarded to.
FORWARD_RECIPIENTS = 1


class SuspicionPublisher:
    """Collects updates and sends them to workers."""

    def __init__(
        self,
        suspicions: Suspicions,
        replicas: ReplicaRegister,
        pool: ConnectionPool,
        port: int,
        rng: random.Random,
    ) -> None:
        """Create the publisher.

        :param suspicions: suspected requests that this entry knows.
        :param replicas: upstreams that this entry knows.
        :param pool: connections to the workers.
        :param port: port of the workers on the upstreams' VMs.
        :param rng: source of randomness.
        """
        self._suspicions = suspicions
        self._replicas = replicas
        self._pool = pool
        self._port = port
        self._rng = rng
        self._pending: list[SuspicionUpdate] = []
        self._involved_addresses: set[str] = set()

    def publish(self, update: SuspicionUpdate, address: str = '') -> None:
        """Publish an update from this process.

        :param update: the update.
        :param address: address of the upstream concerned, whose worker always
            gets the update.
        """
        if update == SuspicionUpdate():
            return
        if not self._pending:
            gevent.spawn_later(BATCH_SECONDS, self._publish_pending)
        self._pending.append(update)
        self._involved_addresses.add(address)

    def release(self, trial: str, address: str) -> None:
        """Tell a worker that a trial at its upstream has ended.

        :param trial: what excludes other runs of the same cause.
        :param address: address of the upstream.
        """
        self._send(SuspicionUpdate(released=(trial,)), {address})

    def receive(self, update: SuspicionUpdate) -> None:
        """Merge an update of another process and forward what is new.

        :param update: the update.
        """
        recent = {
            crash.upstream
            for crash in update.ends
            if crash.age < PROPAGATION_SECONDS
        }
        recent |= {
            run.upstream
            for run in update.parts.lost
            if run.age < PROPAGATION_SECONDS
        }
        for upstream in recent:
            self._replicas.record_crash(upstream)
        new = self._suspicions.merge(update)
        if new != SuspicionUpdate():
            self._send(new, self._draw_addresses(FORWARD_RECIPIENTS))

    def publish_all(self, address: str) -> None:
        """Send all suspected requests to a worker that may have just started.

        :param address: address of its upstream.
        """
        if not self._suspicions.is_empty:
            self._send(self._suspicions.describe(), {address})

    def _publish_pending(self) -> None:
        pending = self._pending
        addresses = self._involved_addresses - {''}
        self._pending = []
        self._involved_addresses = set()
        update = combine_updates(pending)
        self._send(
            update, addresses | self._draw_addresses(OWN_UPDATE_RECIPIENTS)
        )

    def _draw_addresses(self, count: int) -> set[str]:
        addresses = [state.address for state in self._replicas.list_upstreams()]
        return set(self._rng.sample(addresses, min(count, len(addresses))))

    def _send(self, update: SuspicionUpdate, addresses: set[str]) -> None:
        body = msgspec.json.encode(update)
        for upstream in addresses:
            host = split_address(upstream)[0]
            address = f'{host}:{self._port}'
            raw = make_request('POST', NEWS_PATH, [('Host', address)], body)
            # A worker that does not respond gets it from another entry.
            gevent.spawn(self._pool.call, address, raw, SEND_TIMEOUT_SECONDS)
