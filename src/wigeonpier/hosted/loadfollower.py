"""Follows the load feeds of the upstreams' workers."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import gevent
from result import Err

from wigeonpier.hosted.loadfeed import LOAD_PATH
from wigeonpier.hosted.news import FeedLine
from wigeonpier.loops import spawn_loop
from wigeonpier.platform.decoding import OddValueError, decode_value
from wigeonpier.policy.route import record_health, record_load
from wigeonpier.settings.process import split_address
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.hosted.usagecounter import UsageReport
    from wigeonpier.membership.updates import SuspicionUpdate
    from wigeonpier.models import HostSettings, OnlineLoad
    from wigeonpier.reports import ItemBacklog, UpstreamPace
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.pool import ConnectionPool

# After a restart of all processes callers retry at once, and with an interval
# of 0.5 s entries chose upstreams without load data for that long.
UPDATE_INTERVAL_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 0.4
# Time for five lines; a connection that is silent for longer is dead.
READ_TIMEOUT_SECONDS = 2.0
# A killed worker restarts within about a second.
RETRY_DELAY_SECONDS = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class FeedListeners:
    """Callbacks for the messages of load feeds.

    :param on_load: called with the address of a VM and the load there.
    :param on_update: called with updates on suspected requests.
    :param on_followed: called with the address of an upstream after the first
        message on a connection to its worker.
    :param on_usage: called with the address of a VM and the request counts of
        customers there.
    :param on_items: called with the address of an upstream and the batch items
        at its worker.
    """

    on_load: Callable[[str, OnlineLoad], None]
    on_update: Callable[[SuspicionUpdate], None]
    on_followed: Callable[[str], None]
    on_usage: Callable[[str, UsageReport], None]
    on_items: Callable[[str, ItemBacklog], None]


class LoadFollower:
    """Updates the load of each upstream that this entry routes to."""

    def __init__(
        self,
        settings: HostSettings,
        replicas: ReplicaRegister,
        pool: ConnectionPool,
        rng: random.Random,
        listeners: FeedListeners,
    ) -> None:
        """Create the follower.

        :param settings: settings of the process.
        :param replicas: upstreams to follow.
        :param pool: connections to the workers.
        :param rng: source of randomness.
        :param listeners: callbacks for messages.
        """
        self._listeners = listeners
        self._port = split_address(settings.peers)[1]
        self._replicas = replicas
        self._pool = pool
        self._rng = rng
        self._feeds: dict[str, gevent.Greenlet[..., None]] = {}
        # Upstreams without a working load feed; each loss is logged once.
        self._lost_feeds: set[str] = set()
        # Start and pace as last reported on the connection for an address.
        self._paces: dict[str, tuple[int, UpstreamPace]] = {}

    def start(self) -> None:
        """Begin to follow the upstreams."""
        spawn_loop('load feeds', self._update_feeds)

    def _update_feeds(self) -> None:
        addresses = {state.address for state in self._replicas.list_upstreams()}
        for address in set(self._feeds) - addresses:
            self._feeds.pop(address).kill(block=False)
            self._lost_feeds.discard(address)
            self._paces.pop(address, None)
        for address in addresses - set(self._feeds):
            self._feeds[address] = spawn_loop(
                f'load of {address}',
                partial(self._follow, address),
            )
        gevent.sleep(UPDATE_INTERVAL_SECONDS)

    def _follow(self, address: str) -> None:
        """Follow one upstream until its feed ends."""
        host = split_address(address)[0]
        # The worker listens at the same port on its VM as this process does
        # here.
        opened = self._pool.begin(
            f'{host}:{self._port}', CONNECT_TIMEOUT_SECONDS
        )
        if isinstance(opened, Err):
            self._record_loss(address, 'no connection')
        else:
            self._read(address, opened.ok_value)
        gevent.sleep(self._rng.uniform(*RETRY_DELAY_SECONDS))

    def _read(self, address: str, exchange: Exchange) -> None:
        raw = make_request('GET', LOAD_PATH, [('Host', address)])
        reason = 'the feed ended'
        is_followed = False
        try:
            exchange.send(raw, READ_TIMEOUT_SECONDS)
            self._forget_details(address)
            while line := exchange.read_line(READ_TIMEOUT_SECONDS):
                self._dispatch(address, line)
                if not is_followed:
                    is_followed = True
                    self._lost_feeds.discard(address)
                    self._listeners.on_followed(address)
                    log_event(Event.load_followed, address=address)
        except (OSError, OddValueError) as error:
            reason = f'{type(error).__name__}: {error}'
        finally:
            exchange.abort()
            exchange.close()
        self._record_loss(address, reason)

    def _record_loss(self, address: str, reason: str) -> None:
        if address not in self._lost_feeds:
            self._lost_feeds.add(address)
            log_event(Event.load_lost, address=address, why=reason)

    def _dispatch(self, address: str, line: bytes) -> None:
        message = decode_value(line, FeedLine)
        if message.news is not None:
            self._listeners.on_update(message.news)
        if message.usage is not None:
            self._listeners.on_usage(split_address(address)[0], message.usage)
        if message.load is not None:
            self._record_load(address, message.load)
        if message.items is not None:
            self._listeners.on_items(address, message.items)
        self._record_details(address, message)

    def _record_load(self, address: str, load: OnlineLoad) -> None:
        now = time.monotonic()
        self._listeners.on_load(split_address(address)[0], load)
        for state in self._replicas.list_upstreams():
            if state.address == address:
                record_load(state, load, now)

    def _record_details(self, address: str, line: FeedLine) -> None:
        """Record what the line reports beside the load of the same start."""
        if line.pace and line.load:
            self._paces[address] = (line.load.incarnation, line.pace)
        start, pace = self._paces.get(address, (0, None))
        for state in self._replicas.list_upstreams():
            if state.address != address:
                continue
            state.pace = pace if start == state.incarnation else None
            health = line.health
            if health and health.incarnation == state.incarnation:
                record_health(state, health, time.monotonic())

    def _forget_details(self, address: str) -> None:
        """Forget the pace and health that an earlier process reported.

        The one that answers may be of an earlier build, which reports none.
        """
        self._paces.pop(address, None)
        for state in self._replicas.list_upstreams():
            if state.address == address:
                record_health(state, None, time.monotonic())
