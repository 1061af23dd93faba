"""Fleet state of an entry, built from heartbeats, outcomes and the VM list."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.membership.messages import DiskReport, Heartbeat, Role
from wigeonpier.platform.port import Vm, VmState
from wigeonpier.policy.copies import Disk
from wigeonpier.policy.route import UpstreamState
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

SILENT_SECONDS = 3.0
FORGET_SECONDS = 15.0
GONE_SECONDS = 30.0
SUMMARY_SECONDS = 0.2
UNKNOWN_REGION = ''


@dataclass(slots=True)
class Member:
    """One process that has sent heartbeats.

    :param heartbeat: its last heartbeat.
    :param seen: when it arrived, seconds.
    """

    heartbeat: Heartbeat
    seen: float


@dataclass(frozen=True, slots=True)
class DiskSighting:
    """Last report of a data folder.

    :param vm: name of the VM that reported it.
    :param seen: when, seconds.
    """

    vm: str
    seen: float


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Fleet state that replies to heartbeats carry.

    :param made: when it was built, seconds.
    :param entries: addresses of live entries.
    :param disks: reachable data folders.
    :param gone: data folders that are lost for good.
    """

    made: float
    entries: tuple[str, ...]
    disks: tuple[DiskReport, ...]
    gone: tuple[str, ...]


@dataclass(slots=True)
class Directory:
    """Processes, upstreams and disks that an entry knows.

    :param clock: returns seconds.
    :param find_region: returns the region of a data centre.
    :param members: processes by name.
    :param upstreams: upstreams by name.
    :param leaving_vms: VMs that are leaving, by the VM list or an operator.
    :param listed_vms: VMs on the VM list.
    :param folder_sightings: last reports of data folders, by incarnation.
    :param reported_gone: folders that other entries reported as gone.
    """

    clock: Callable[[], float]
    find_region: Callable[[str], str]
    members: dict[str, Member] = field(default_factory=dict)
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    leaving_vms: set[str] = field(default_factory=set)
    listed_vms: dict[str, Vm] = field(default_factory=dict)
    folder_sightings: dict[str, DiskSighting] = field(default_factory=dict)
    reported_gone: set[str] = field(default_factory=set)
    _summary: FleetSummary | None = None

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the heartbeat of a process.

        :param heartbeat: the heartbeat.
        """
        now = self.clock()
        is_new = not self._is_known_start(heartbeat)
        self.members[heartbeat.name] = Member(heartbeat, now)
        if heartbeat.disk is not None:
            incarnation = heartbeat.disk.incarnation
            self.folder_sightings[incarnation] = DiskSighting(
                heartbeat.name, now
            )
        if heartbeat.upstream is not None:
            self._record_upstream(heartbeat, now, is_new)

    def is_restart(self, heartbeat: Heartbeat) -> bool:
        """Check whether the process of an upstream was lost and started again.

        :param heartbeat: its heartbeat, not recorded yet.
        :returns: false for one that is not known, or was leaving.
        """
        known = self.members.get(heartbeat.name)
        return (
            known is not None
            and heartbeat.upstream is not None
            and not known.heartbeat.is_leaving
            and not self._is_known_start(heartbeat)
        )

    def update_vms(self, vms: tuple[Vm, ...]) -> None:
        """Replace the VM list.

        :param vms: the new list.
        """
        self.listed_vms = {vm.name: vm for vm in vms}
        for vm in vms:
            if vm.state is VmState.leaving:
                self.mark_leaving(vm.name)

    def mark_leaving(self, name: str) -> None:
        """Mark a VM as leaving, so that it receives no new work.

        :param name: name of the VM.
        """
        if name not in self.leaving_vms:
            self.leaving_vms.add(name)
            log_event(Event.upstream_removed, vm=name, why='leaving')
        state = self.upstreams.get(name)
        if state is not None:
            state.is_leaving = True

    def unmark_leaving(self, name: str) -> None:
        """Undo an operator's drain of a VM.

        :param name: name of the VM.
        """
        self.leaving_vms.discard(name)
        member = self.members.get(name)
        state = self.upstreams.get(name)
        if state is not None and member is not None:
            state.is_leaving = member.heartbeat.is_leaving

    def list_upstreams(self) -> list[UpstreamState]:
        """List upstreams with a recent heartbeat.

        If all are silent the entry itself may be isolated; then all known
        upstreams are listed, and the outcomes of requests decide.

        :returns: routing states, leaving ones included.
        """
        self._remove_silent()
        now = self.clock()
        fresh = [
            state
            for name, state in self.upstreams.items()
            if now - self.members[name].seen <= SILENT_SECONDS
        ]
        return fresh or list(self.upstreams.values())

    def list_disks(self) -> list[Disk]:
        """List data folders with a recent heartbeat.

        :returns: folders that may be chosen.
        """
        now = self.clock()
        return [
            Disk(
                report.incarnation,
                report.address,
                report.data_centre,
                report.free_bytes,
            )
            for member in self.members.values()
            if (report := member.heartbeat.disk) is not None
            and now - member.seen <= SILENT_SECONDS
            and not member.heartbeat.is_leaving
        ]

    def list_lost_folders(self) -> tuple[str, ...]:
        """List data folders that are lost for good.

        A folder is gone when its VM has reported another one, or when it has
        been silent for ``GONE_SECONDS`` and its VM is no longer listed.

        :returns: incarnations.
        """
        observed_gone = {
            incarnation
            for incarnation, sighting in self.folder_sightings.items()
            if self._is_gone(incarnation, sighting)
        }
        live = {disk.incarnation for disk in self.report_disks()}
        return tuple(sorted((observed_gone | self.reported_gone) - live))

    def add_lost_folders(self, gone: tuple[str, ...]) -> None:
        """Record folders that another entry reports as gone.

        An entry that has just started may have to act on a folder without
        ever having received a heartbeat of it.

        :param gone: incarnations.
        """
        self.reported_gone.update(gone)

    def summarize_fleet(self) -> FleetSummary:
        """Collect the fleet state for replies, at most a few times a second.

        Building it for each heartbeat would cost time in proportion to the
        square of the fleet's size.

        :returns: the fleet state.
        """
        now = self.clock()
        if self._summary is None or now - self._summary.made > SUMMARY_SECONDS:
            self._summary = FleetSummary(
                now,
                tuple(self.list_entries()),
                self.report_disks(),
                self.list_lost_folders(),
            )
        return self._summary

    def report_disks(self) -> tuple[DiskReport, ...]:
        """List the reports of live data folders for peers.

        :returns: the reports.
        """
        now = self.clock()
        return tuple(
            member.heartbeat.disk
            for member in self.members.values()
            if member.heartbeat.disk is not None
            and now - member.seen <= SILENT_SECONDS
        )

    def list_entries(self) -> list[str]:
        """List addresses of entries that have not been silent for long.

        :returns: ``host:port``, sorted.
        """
        return self._list_entries(FORGET_SECONDS)

    def list_live_entries(self) -> list[str]:
        """List addresses of entries that miss no heartbeats.

        :returns: ``host:port``, sorted.
        """
        return self._list_entries(SILENT_SECONDS)

    def list_models(self) -> list[str]:
        """List models that at least one upstream serves.

        :returns: names, sorted.
        """
        return sorted(
            {
                model
                for state in self.upstreams.values()
                for model in state.models
            }
        )

    def _list_entries(self, max_silence: float) -> list[str]:
        now = self.clock()
        return sorted(
            member.heartbeat.address
            for member in self.members.values()
            if member.heartbeat.role is Role.entry
            and not member.heartbeat.is_leaving
            and now - member.seen <= max_silence
        )

    def _is_gone(self, incarnation: str, sighting: DiskSighting) -> bool:
        member = self.members.get(sighting.vm)
        current = member.heartbeat.disk if member else None
        if current is not None and current.incarnation != incarnation:
            return True
        is_silent = self.clock() - sighting.seen > GONE_SECONDS
        return is_silent and sighting.vm not in self.listed_vms

    def _is_known_start(self, heartbeat: Heartbeat) -> bool:
        known = self.members.get(heartbeat.name)
        return known is not None and known.heartbeat.boot == heartbeat.boot

    def _record_upstream(
        self,
        heartbeat: Heartbeat,
        now: float,
        is_new: bool,
    ) -> None:
        report = heartbeat.upstream
        if report is None:
            return
        state = self.upstreams.get(heartbeat.name)
        if state is None or is_new:
            state = UpstreamState(
                name=heartbeat.name,
                address=heartbeat.address,
                service=report.service,
                models=report.models,
                data_centre=heartbeat.data_centre,
                region=self.find_region(heartbeat.data_centre),
            )
            self.upstreams[heartbeat.name] = state
            log_event(Event.upstream_added, vm=heartbeat.name)
        state.models = report.models
        state.slots = report.slots
        state.reported = report.online
        state.reported_at = now
        state.is_leaving = (
            heartbeat.is_leaving
            or not report.is_well
            or heartbeat.name in self.leaving_vms
        )

    def _remove_silent(self) -> None:
        now = self.clock()
        for name, member in list(self.members.items()):
            gone = now - member.seen > FORGET_SECONDS
            if gone and name not in self.listed_vms:
                self.members.pop(name)
                self.leaving_vms.discard(name)
                if self.upstreams.pop(name, None):
                    log_event(Event.upstream_removed, vm=name, why='silent')
