"""Keeps the parts of prompts that are known to crash upstreams."""

from __future__ import annotations

from itertools import product
from operator import attrgetter
from typing import TYPE_CHECKING

from wigeonpier.membership.updates import CulpritReport
from wigeonpier.policy.promptparts import PartCulprit
from wigeonpier.policy.suspicion import MEMORY_SECONDS, RENEW_SECONDS
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from wigeonpier.membership.updates import PartProof
    from wigeonpier.policy.promptparts import LostRun

MAX_CULPRITS = 256
# Lost runs of one culprit that are kept and sent to processes that start.
MAX_RUNS = 32
# Reports of a culprit that were sent before it was lifted, or proven sound,
# arrive within this time.
ENDED_SECONDS = 30.0


class PartCulprits:
    """Culprits by name."""

    def __init__(self) -> None:
        """Start without culprits."""
        self.by_name: dict[str, PartCulprit] = {}
        # Called with the name of a culprit that has fewer parts, or ended.
        self.on_change: Callable[[str], object] = _ignore_name
        # When culprits were lifted or proven sound, by name.
        self._ended: dict[str, float] = {}
        # When operators lifted culprits, by the parts of these.
        self._lifted: dict[frozenset[str], float] = {}

    def find(self, parts: Sequence[str]) -> list[PartCulprit]:
        """Find the culprits for which a request is refused.

        :param parts: keys of the shared parts of its prompt.
        :returns: the culprits.
        """
        present = frozenset(parts)
        return [one for one in self.by_name.values() if one.parts <= present]

    def list_tried_versions(self, parts: Sequence[str]) -> set[str]:
        """List the versions on which a request must not be tried again.

        :param parts: keys of the shared parts of its prompt.
        :returns: versions of upstreams' software.
        """
        found = self.find(parts)
        return {version for culprit in found for version in culprit.versions}

    def has(self, part: str) -> bool:
        """Check whether a part is blamed, alone or with others.

        :param part: key of the part.
        :returns: true if it is.
        """
        return any(part in one.parts for one in self.by_name.values())

    def explains(self, upstream: str) -> bool:
        """Check whether a culprit explains a crash.

        :param upstream: start of the upstream.
        :returns: true if one does.
        """
        return any(upstream in one.runs for one in self.by_name.values())

    def explain(self, run: LostRun) -> bool:
        """Record a lost run of a request with the parts of a culprit.

        :param run: the run.
        :returns: false if it has no culprit's parts.
        """
        found = self.find(run.parts)
        for culprit in found:
            culprit.last_seen_at = max(culprit.last_seen_at, run.at)
            culprit.versions.add(run.version)
            culprit.cured.discard(run.version)
            if culprit.runs.setdefault(run.upstream, run) is run:
                _drop_oldest(culprit.runs)
        return bool(found)

    def confirm(
        self, culprit: PartCulprit, runs: Mapping[str, LostRun], now: float
    ) -> None:
        """Add a culprit that this process has confirmed.

        :param culprit: the culprit.
        :param runs: the lost runs that it explains, by start of the upstream.
        :param now: seconds of the monotonic clock.
        """
        # A run that began before the crashes may have proven it sound.
        self._ended.pop(culprit.name, None)
        for upstream, run in list(runs.items())[-MAX_RUNS:]:
            culprit.runs[upstream] = run
            culprit.versions.add(run.version)
        self._add(culprit, now)

    def add(self, report: CulpritReport, now: float) -> bool:
        """Add a culprit that another process has confirmed.

        :param report: the report; a known one may have fewer parts there.
        :param now: seconds of the monotonic clock.
        :returns: whether it is new.
        """
        parts = frozenset(report.parts)
        known = self.by_name.get(report.name)
        if known is not None:
            narrowed = known.parts & parts
            has_changed = bool(narrowed) and narrowed != known.parts
            if has_changed:
                known.parts = narrowed
                self.on_change(known.name)
            return has_changed
        if report.name in self._ended or not parts:
            return False
        culprit = PartCulprit(
            report.name,
            parts,
            set(report.versions),
            report.is_despite_proof,
        )
        self._add(culprit, now)
        return True

    def absolve(
        self, find_proof: Callable[[str, str], float | None], now: float
    ) -> None:
        """Stop to blame parts that completed runs have proven sound.

        :param find_proof: finds when the last completed run with a part began
            on a version.
        :param now: seconds of the monotonic clock.
        """
        for culprit in list(self.by_name.values()):
            for part, version in product(
                sorted(culprit.parts), sorted(culprit.versions)
            ):
                proven_at = find_proof(part, version)
                if proven_at is not None:
                    self._absolve(culprit, part, proven_at, now)

    def record_cures(self, proofs: Iterable[PartProof]) -> None:
        """Record the versions that have completed runs with culprits.

        :param proofs: completed runs.
        """
        for proof, culprit in product(proofs, self.by_name.values()):
            is_other = proof.version not in culprit.versions
            if is_other and culprit.parts == {proof.part}:
                culprit.cured.add(proof.version)

    def lift(self, name: str, now: float) -> PartCulprit | None:
        """Lift a culprit on behalf of an operator.

        :param name: name of the culprit.
        :param now: seconds of the monotonic clock.
        :returns: the culprit, ``None`` if it is not known.
        """
        culprit = self.by_name.get(name)
        if culprit is not None:
            self._lifted[culprit.parts] = now
            self._end(culprit, 'operator', now)
        return culprit

    def is_lifted(self, parts: Sequence[str], at: float) -> bool:
        """Check whether an operator has lifted the culprit of a crash since.

        :param parts: keys of the shared parts of the lost request.
        :param at: when it was lost, seconds of the monotonic clock.
        :returns: true if one has.
        """
        return any(
            lifted <= set(parts) and at <= lifted_at
            for lifted, lifted_at in self._lifted.items()
        )

    def keep(self, name: str, now: float) -> bool:
        """Record that a request was refused for a culprit.

        :param name: name of the culprit.
        :param now: seconds of the monotonic clock.
        :returns: whether that is to be reported.
        """
        culprit = self.by_name.get(name)
        if culprit is None or now - culprit.last_seen_at < RENEW_SECONDS / 2:
            return False
        culprit.last_seen_at = now
        return True

    def drop_old(self, now: float) -> None:
        """Forget culprits with which no request was sent for long.

        :param now: seconds of the monotonic clock.
        """
        self.by_name = {
            name: one
            for name, one in self.by_name.items()
            if now - one.last_seen_at < MEMORY_SECONDS
        }
        self._ended = {
            name: ended_at
            for name, ended_at in self._ended.items()
            if now - ended_at < ENDED_SECONDS
        }
        self._lifted = {
            parts: lifted_at
            for parts, lifted_at in self._lifted.items()
            if now - lifted_at < ENDED_SECONDS
        }

    def _add(self, culprit: PartCulprit, now: float) -> None:
        culprit.last_seen_at = now
        self.by_name[culprit.name] = culprit
        while len(self.by_name) > MAX_CULPRITS:
            self.by_name.pop(next(iter(self.by_name)))
        log_event(
            Event.part_condemned,
            name=culprit.name,
            parts=sorted(culprit.parts),
            versions=sorted(culprit.versions),
            upstreams=list(culprit.runs),
            alone=[
                upstream
                for upstream, run in culprit.runs.items()
                if run.was_alone
            ],
        )

    def _absolve(
        self, culprit: PartCulprit, part: str, proven_at: float, now: float
    ) -> None:
        if len(culprit.parts) > 1:
            culprit.parts -= {part}
            self.on_change(culprit.name)
            return
        crashes = [run.at for run in culprit.runs.values()]
        is_outdated = culprit.is_despite_proof and (
            not crashes or proven_at < max(crashes)
        )
        if not is_outdated:
            self._end(culprit, 'completion', now)

    def _end(self, culprit: PartCulprit, reason: str, now: float) -> None:
        """Refuse requests with the parts of a culprit no longer."""
        self.by_name.pop(culprit.name, None)
        self._ended[culprit.name] = now
        self.on_change(culprit.name)
        log_event(
            Event.part_cleared,
            name=culprit.name,
            parts=sorted(culprit.parts),
            why=reason,
        )


def report_culprit(culprit: PartCulprit) -> CulpritReport:
    """Make the message about a culprit.

    :param culprit: the culprit.
    :returns: the message; its lost runs are messages of their own.
    """
    return CulpritReport(
        culprit.name,
        tuple(sorted(culprit.parts)),
        tuple(sorted(culprit.versions)),
        culprit.is_despite_proof,
    )


def _drop_oldest(runs: dict[str, LostRun]) -> None:
    """Drop the oldest runs; the latest decide when an item is tried."""
    for run in sorted(runs.values(), key=attrgetter('at'))[:-MAX_RUNS]:
        runs.pop(run.upstream)


def _ignore_name(_name: str) -> None:
    """Ignore a change, in processes that store nothing."""
