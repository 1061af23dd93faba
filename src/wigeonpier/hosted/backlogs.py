"""Keeps the batch items that workers report, for placing others."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.hosted.news import IdleWorker
from wigeonpier.policy import placement
from wigeonpier.policy.route import FEED_TIMEOUT_SECONDS
from wigeonpier.settings.process import split_address

if TYPE_CHECKING:
    from wigeonpier.hosted.board import Board
    from wigeonpier.hosted.replicas import ReplicaRegister
    from wigeonpier.models import OpenJob
    from wigeonpier.reports import ItemBacklog

# A search among 600 workers takes 1.4 ms.  With reservations of other entries
# a worker still learns several times a second of one that is ready sooner.
SEARCH_INTERVAL_SECONDS = 0.25
# A restarted worker is followed again within seconds.
FORGET_SECONDS = 60.0


@dataclass(slots=True)
class WorkerBacklogs:
    """Newest backlog of each worker that this entry follows.

    A backlog is reported when it changes; it is fresh as long as the feed of
    its worker sends any lines.

    :param port: port of the workers on the upstreams' VMs.
    :param replicas: upstreams that the entry routes to.
    :param reported: backlogs by host of the VM.
    :param heard_at: when the feed last sent a line, by host, seconds of the
        monotonic clock.
    :param searched_at: when an idle worker was last searched, likewise.
    :param comparisons: whether the upstreams of each service differ.
    """

    port: int
    replicas: ReplicaRegister
    reported: dict[str, ItemBacklog] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    searched_at: float = 0
    comparisons: dict[str, placement.RunComparison] = field(
        default_factory=dict
    )

    def record(self, address: str, backlog: ItemBacklog) -> None:
        """Record the backlog of a worker.

        :param address: address of its upstream.
        :param backlog: what it reports.
        """
        self._forget_lost()
        self.reported[split_address(address)[0]] = backlog

    def record_contact(self, host: str) -> None:
        """Record that the feed of a worker has sent a line.

        :param host: address of its VM.
        """
        self.heard_at[host] = time.monotonic()

    def choose_owners(self, board: Board, job: OpenJob) -> tuple[str, ...]:
        """Choose an owner for each item of a new job.

        :param board: the board as just read.
        :param job: the job; its owners are ignored.
        :returns: owners by position.
        """
        members = board.list_members(job.service)
        jobs = list(board.jobs.values())
        fresh = {
            backlog.vm: backlog
            for host, backlog in self.reported.items()
            if self._is_fresh(host)
        }
        selected = self._select(
            job.service, [member.name for member in members], fresh
        )
        if not selected:
            return placement.assign_items(
                job.name, len(job.owners), members, jobs, job.sent_at
            )
        return placement.assign_by_completion(
            job.name, len(job.owners), selected, jobs, job.sent_at
        )

    def find_idle(self, host: str) -> IdleWorker | None:
        """Find a worker that a worker with late items could hand them to.

        :param host: address of the VM of the worker with late items.
        :returns: the worker that completes one more item first, ``None`` where
            none is clearly sooner, or where one was searched just before.
        """
        busy = self.reported.get(host)
        # Called for each reservation; most workers have no late items.
        if busy is None or not busy.late:
            return None
        now = time.monotonic()
        if now - self.searched_at < SEARCH_INTERVAL_SECONDS:
            return None
        self.searched_at = now
        service, hosts = self._list_hosts(host)
        known = {
            other: self.reported[other]
            for other in hosts
            if other in self.reported and self._is_fresh(other)
        }
        # The names of those that do not report are not known.
        names = [
            known[other].vm if other in known else other for other in hosts
        ]
        fresh = {backlog.vm: backlog for backlog in known.values()}
        found = placement.find_idle(
            busy.vm, self._select(service, names, fresh)
        )
        if found is None:
            return None
        vm, ready_seconds = found
        address = next(
            f'{other}:{self.port}' for other in known if known[other].vm == vm
        )
        return IdleWorker(vm, address, round(ready_seconds, 1))

    def _forget_lost(self) -> None:
        """Forget VMs that no longer exist."""
        oldest = time.monotonic() - FORGET_SECONDS
        for host, heard_at in list(self.heard_at.items()):
            if heard_at < oldest:
                self.heard_at.pop(host)
                self.reported.pop(host, None)

    def _select(
        self, service: str, names: list[str], fresh: dict[str, ItemBacklog]
    ) -> dict[str, ItemBacklog]:
        """Select the backlogs by which items of a service are placed."""
        comparison = self.comparisons.setdefault(
            service, placement.RunComparison()
        )
        return comparison.confirm(
            placement.select_backlogs(names, fresh), time.monotonic()
        )

    def _list_hosts(self, busy: str) -> tuple[str, list[str]]:
        """List the VMs of the service of a VM, which is the first result."""
        services = {
            split_address(state.address)[0]: state.service
            for state in self.replicas.list_upstreams()
            if state.takes_work and not state.is_leaving
        }
        service = services.get(busy, '')
        return service, [
            host for host, found in services.items() if found == service
        ]

    def _is_fresh(self, host: str) -> bool:
        age = time.monotonic() - self.heard_at.get(host, 0)
        return age < FEED_TIMEOUT_SECONDS
