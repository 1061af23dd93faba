"""Keeps the parts of prompts that are suspected of crashing upstreams.

Every process stores every report, so that reports survive the process that
observed a crash, and confirms culprits by itself.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wigeonpier.membership.lostruns import (
    AGE_DIGITS,
    LostRuns,
    read_run,
    report_runs,
)
from wigeonpier.membership.partculprits import PartCulprits, report_culprit
from wigeonpier.membership.partproofs import (
    MAX_DESCRIBED,
    PartProofs,
)
from wigeonpier.membership.updates import (
    CulpritReport,
    LostRunReport,
    PartProof,
    PartUpdate,
)
from wigeonpier.policy.promptparts import (
    PartCulprit,
    choose_part_mode,
    choose_trial_part,
    collect_evidence,
    digest_part,
    find_best_explanation,
    find_inseparable,
)
from wigeonpier.policy.suspicion import (
    RENEW_SECONDS,
    UNSTABLE_SECONDS,
    RunMode,
)
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence, Set

    from wigeonpier.policy.promptparts import LostRun, PartEvidence

# Lost runs and proofs in a heartbeat: 10 KB at most, usually nothing.
MAX_SUMMARIZED = 32
# Lost runs that are stored: more than are needed to confirm a culprit.
MAX_STORED = 8
REQUEST_DIGITS = 16


class PartSuspicions:
    """Lost runs, and what counts against each part of their prompts."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.culprits = PartCulprits()
        self.evidence: dict[str, PartEvidence] = {}
        self._proofs = PartProofs()
        self._lost = LostRuns()

    @property
    def is_empty(self) -> bool:
        """Check whether nothing is suspected, so that look-ups are skipped."""
        return not self._lost.runs and not self.culprits.by_name

    def get_run_mode(self, parts: Sequence[str], versions: Set[str]) -> RunMode:
        """Decide how a request may run.

        :param parts: keys of the shared parts of its prompt.
        :param versions: software versions of the upstreams that could run it.
        :returns: how it may run.
        """
        if self.is_empty or not parts:
            return RunMode.free
        return choose_part_mode(
            parts, self.evidence, self.culprits.by_name.values(), versions
        )

    def choose_trial_part(self, parts: Sequence[str]) -> str:
        """Choose the part by which lone runs exclude each other.

        :param parts: keys of the shared parts of the prompt of a request.
        :returns: the key, empty if none of them is suspected.
        """
        return choose_trial_part(
            parts, self.evidence, self.culprits.by_name.values()
        )

    def record_completion(
        self, parts: Sequence[str], version: str, started_at: float
    ) -> PartUpdate:
        """Record a completed run.

        :param parts: keys of the shared parts of its prompt.
        :param version: software version of the upstream.
        :param started_at: when it began, seconds of the monotonic clock.
        :returns: the proofs to merge, empty while none of the parts is
            suspected.
        """
        self._proofs.note_all(parts, version, started_at)
        if self.is_empty:
            return PartUpdate()
        age = round(time.monotonic() - started_at, AGE_DIGITS)
        return PartUpdate(
            proofs=tuple(
                PartProof(part, version, age)
                for part in filter(self._is_suspected, parts)
            )
        )

    def record_repeat(self, parts: Sequence[str]) -> PartUpdate:
        """Record that a request was refused.

        :param parts: keys of the shared parts of its prompt.
        :returns: the culprits to renew, empty if they were renewed recently.
        """
        oldest = time.monotonic() - RENEW_SECONDS
        return PartUpdate(
            kept=tuple(
                culprit.name
                for culprit in self.culprits.find(parts)
                if culprit.last_seen_at < oldest
            )
        )

    def merge(
        self, update: PartUpdate, other_crashes: Mapping[str, float]
    ) -> PartUpdate:
        """Merge an update, and confirm culprits.

        :param update: the update.
        :param other_crashes: crashes that nothing explains, with their times,
            also those under which no run with parts was lost.
        :returns: the part of it that is new here, and proofs of this process
            that the sender may not have.
        """
        now = time.monotonic()
        lifted = tuple(name for name in update.lifted if self._lift(name, now))
        culprits, proofs = self._add_culprits(update.culprits, now)
        lost = tuple(run for run in update.lost if self._add_run(run, now))
        self.culprits.record_cures(update.proofs)
        proofs += [one for one in update.proofs if self._proofs.add(one, now)]
        proofs += self._proofs.list_for_runs(lost, now)
        kept = tuple(
            name for name in update.kept if self.culprits.keep(name, now)
        )
        if lost or proofs or culprits or lifted:
            self.culprits.drop_old(now)
            self._lost.drop_old(now)
            self.culprits.absolve(self._proofs.find, now)
            self._rebuild()
            culprits += self._confirm(now, other_crashes)
        return PartUpdate(lost, tuple(proofs), tuple(culprits), kept, lifted)

    def drop_innocent(self, upstreams: Set[str], request: str) -> None:
        """Drop runs that were lost in crashes that one request has caused.

        :param upstreams: starts of the upstreams that crashed.
        :param request: start of the fingerprint of the request, whose own runs
            still count against the parts of its prompt.
        """
        self._lost.keep(
            lambda run: run.upstream not in upstreams or run.request == request
        )
        self._rebuild()

    def describe(self) -> PartUpdate:
        """Describe the whole state.

        :returns: everything that is suspected, and the proofs that concern it.
        """
        return self._describe(self._lost.runs, MAX_DESCRIBED)

    def summarize(self) -> PartUpdate:
        """Describe the part of the state that heartbeats repeat.

        :returns: culprits, the latest lost runs, and proofs.
        """
        return self._describe(self._lost.runs[-MAX_SUMMARIZED:], MAX_SUMMARIZED)

    def describe_culprit(self, name: str) -> PartUpdate:
        """Describe one culprit, for storage.

        :param name: its name.
        :returns: it and its latest lost runs, empty if it is not known.
        """
        culprit = self.culprits.by_name.get(name)
        if culprit is None:
            return PartUpdate()
        return PartUpdate(
            report_runs(list(culprit.runs.values())[-MAX_STORED:]),
            culprits=(report_culprit(culprit),),
        )

    def describe_suspect(self, part: str) -> PartUpdate:
        """Describe what counts against one part, for storage.

        :param part: key of the part.
        :returns: its latest lost runs, and the proofs of their other parts.
        """
        found = self.evidence.get(part)
        runs = list(found.unproven.values()) if found else []
        stored = runs[-MAX_STORED:]
        now = time.monotonic()
        return PartUpdate(
            report_runs(stored),
            tuple(self._proofs.list_known(stored, now, MAX_SUMMARIZED)),
        )

    def _is_suspected(self, part: str) -> bool:
        return part in self.evidence or self.culprits.has(part)

    def _describe(self, runs: list[LostRun], max_proofs: int) -> PartUpdate:
        culprits = self.culprits.by_name.values()
        explained = [run for one in culprits for run in one.runs.values()]
        described = (*explained, *runs)
        now = time.monotonic()
        return PartUpdate(
            report_runs(described),
            tuple(self._proofs.list_known(described, now, max_proofs)),
            tuple(report_culprit(one) for one in culprits),
        )

    def _add_culprits(
        self, reports: Iterable[CulpritReport], now: float
    ) -> tuple[list[CulpritReport], list[PartProof]]:
        """Add culprits that other processes have confirmed.

        A process that has missed reports may blame a part that is known to be
        sound; it then gets the proof.
        """
        added: list[CulpritReport] = []
        proofs: list[PartProof] = []
        for report in reports:
            proofs += self._proofs.list_objections(report, now)
            is_refuted = self._proofs.refutes(report)
            if not is_refuted and self.culprits.add(report, now):
                added.append(report)
        if added:
            self._lost.drop_explained(
                {
                    run.upstream
                    for run in self._lost.runs
                    if self.culprits.explain(run)
                }
            )
        return added, proofs

    def _add_run(self, report: LostRunReport, now: float) -> bool:
        run = read_run(report, now)
        if self._lost.recognise(run) or self.culprits.is_lifted(
            run.parts, run.at
        ):
            return False
        if self.culprits.explain(run):
            self._lost.drop_explained({run.upstream})
            return True
        if self.culprits.explains(run.upstream):
            return False
        self._lost.add(run)
        log_event(
            Event.part_suspected,
            parts=run.parts,
            request=run.request,
            upstream=run.upstream,
            was_alone=run.was_alone,
            had_output=run.had_output,
        )
        return True

    def _lift(self, name: str, now: float) -> bool:
        culprit = self.culprits.lift(name, now)
        if culprit is None:
            return False
        self._lost.keep(lambda run: not culprit.parts <= set(run.parts))
        return True

    def _rebuild(self) -> None:
        before = set(self.evidence)
        self.evidence = collect_evidence(self._lost.runs, self._proofs.find)
        self._lost.keep(
            lambda run: not self.evidence.keys().isdisjoint(run.parts)
        )
        for part in sorted(before - set(self.evidence)):
            if not self.culprits.has(part):
                log_event(Event.part_cleared, parts=[part], why='completion')

    def _confirm(
        self, now: float, other_crashes: Mapping[str, float]
    ) -> list[CulpritReport]:
        found: list[CulpritReport] = []
        while True:
            part = self._find_confirmed(now, other_crashes)
            if not part:
                return found
            parts = find_inseparable(part, self.evidence)
            evidence = self.evidence[part]
            culprit = PartCulprit(
                digest_part(*parts),
                parts,
                is_despite_proof=not evidence.unproven,
            )
            runs = evidence.runs
            self.culprits.confirm(culprit, runs, now)
            found.append(report_culprit(culprit))
            self._lost.drop_explained(runs.keys())
            self._rebuild()

    def _find_confirmed(
        self, now: float, other_crashes: Mapping[str, float]
    ) -> str:
        crashes = dict(other_crashes)
        crashes |= {run.upstream: run.at for run in self._lost.runs}
        recent = {
            upstream
            for upstream, at in crashes.items()
            if now - at < UNSTABLE_SECONDS
            and not self.culprits.explains(upstream)
        }
        return find_best_explanation(
            self.evidence, lambda found: len(recent - found.runs.keys())
        )
