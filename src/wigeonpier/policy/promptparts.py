"""Decides which part of prompts crashes the upstreams that run it.

Addresses requests of which no two are alike, from several callers and at all
entries, whose prompts share one part that crashes each upstream that begins to
answer.  Sound requests share all other parts with them, and up to a whole
service of upstreams is lost within a second.

A run that was lost in a crash counts against each part of its prompt that no
completed run has proven sound on that software version.  The first crash
isolates requests with such a part from each other, the second one lets them run
one at a time, and the evidence that is enough for a request is enough for a
part, if at least two different requests were lost with it.  Parts that the
evidence cannot separate are blamed together: a request that has all of them
is refused, and one that has some of them runs alone, so that the sound ones are
proven sound.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.policy.fingerprint import DIGEST_BYTES
from wigeonpier.policy.suspicion import (
    CRASHES_BEFORE_ISOLATION,
    CRASHES_TO_QUARANTINE,
    WEIGHT_AFTER_OUTPUT,
    RunMode,
    is_enough_evidence,
)

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Iterable,
        Iterator,
        Mapping,
        Sequence,
        Set,
    )

# One request that is repeated may crash upstreams for its own content.
MIN_REQUESTS = 2
# Crashes that two parts have to share before they count as inseparable.
MIN_SHARED_CRASHES = 2
# A cause rarely lets a run produce events before the crash, and other parts of
# the lost requests often do.
OUTPUT_PENALTY = 2
# A run that goes on for so long after its first event has proven its parts
# sound; upstreams crash before it or within 0.1 s of it.
PROOF_SECONDS = 0.15
# A part with completed runs is blamed only where they may be out of date: so
# many upstreams crashed since, and only requests with it may be the cause.
CRASHES_DESPITE_PROOF = 7
# A report that was lost must not make two parts of the same prompts look
# different.
MAX_UNREPORTED_CRASHES = 1
# Prompts have a few; a caller could drop the proofs of all others with more.
MAX_PARTS = 32
# Ids are up to 16 digits long; callers may send others.
MAX_PART_LENGTH = 64


@dataclass(frozen=True, slots=True)
class LostRun:
    """One run that was lost in the crash of its upstream.

    :param request: start of the fingerprint of the request.
    :param parts: keys of the shared parts of its prompt, in order.
    :param upstream: start of the upstream.
    :param version: version of its software.
    :param at: when it crashed, seconds of the monotonic clock.
    :param was_alone: whether no other suspected request ran there.
    :param had_output: whether the run had produced events.
    """

    request: str
    parts: tuple[str, ...]
    upstream: str
    version: str
    at: float
    was_alone: bool
    had_output: bool = False


@dataclass(slots=True)
class PartCulprit:
    """Parts that crash upstreams, alone or together.

    :param name: digest of the parts that were blamed at first.
    :param parts: keys of the parts; a request that has all of them is refused.
    :param versions: software versions that crashed under them.
    :param is_despite_proof: whether runs with them had completed before, and
        only a later one proves them sound.
    :param cured: software versions that have completed runs with them.
    :param runs: the lost runs that they explain, by start of the upstream.
    :param last_seen_at: when they were last reported, seconds of the monotonic
        clock.
    """

    name: str
    parts: frozenset[str]
    versions: set[str] = field(default_factory=set)
    is_despite_proof: bool = False
    cured: set[str] = field(default_factory=set)
    runs: dict[str, LostRun] = field(default_factory=dict)
    last_seen_at: float = 0


@dataclass(slots=True)
class PartEvidence:
    """Crashes that count against one part.

    :param unproven: lost runs on versions without a completed run, by start of
        the upstream.
    :param outdated: lost runs after the last completed run, likewise.
    :param requests: requests of these runs.
    """

    unproven: dict[str, LostRun] = field(default_factory=dict)
    outdated: dict[str, LostRun] = field(default_factory=dict)
    requests: set[str] = field(default_factory=set)

    @property
    def runs(self) -> dict[str, LostRun]:
        """Return all runs that count."""
        return self.unproven | self.outdated

    @property
    def early(self) -> set[str]:
        """Return the upstreams that crashed before a run had any output."""
        return {
            upstream
            for upstream, run in self.unproven.items()
            if not run.had_output
        }

    @property
    def score(self) -> int:
        """Return how well the part explains crashes, against other parts."""
        late = len(self.unproven) - len(self.early)
        return len(self.early) - OUTPUT_PENALTY * late

    def add(self, run: LostRun, *, is_proven: bool) -> None:
        """Add a lost run.

        :param run: the run; of those at one start the strongest counts.
        :param is_proven: whether a run with the part has completed before.
        """
        self.requests.add(run.request)
        runs = self.outdated if is_proven else self.unproven
        known = runs.get(run.upstream)
        if known is None or _rank_strength(run) > _rank_strength(known):
            runs[run.upstream] = run


def make_part_keys(service: str, parts: Sequence[str]) -> tuple[str, ...]:
    """Make the keys of the parts of a prompt.

    :param service: service that runs the request; another one runs other
        software.
    :param parts: ids of the parts.
    :returns: the keys, in order.
    """
    shortened = [part[:MAX_PART_LENGTH] for part in parts[:MAX_PARTS]]
    return tuple(f'{service}/{part}' for part in shortened)


def digest_part(*parts: str) -> str:
    """Compute a name for parts.

    :param parts: keys of the parts.
    :returns: 32 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update('\n'.join(sorted(parts)).encode())
    return digest.hexdigest()


def collect_evidence(
    runs: Sequence[LostRun], find_proof: Callable[[str, str], float | None]
) -> dict[str, PartEvidence]:
    """Collect what counts against each part.

    :param runs: lost runs that no culprit explains.
    :param find_proof: finds when the last completed run with a part began on a
        version, seconds; ``None`` if there is none.
    :returns: evidence by key of the part.
    """
    evidence: dict[str, PartEvidence] = {}
    for run, part in _list_pairs(runs):
        if find_proof(part, run.version) is None:
            found = evidence.setdefault(part, PartEvidence())
            found.add(run, is_proven=False)
    # A part that may be the cause explains a crash before one whose proof may
    # be out of date.
    explained = {
        upstream for found in evidence.values() for upstream in found.unproven
    }
    others = [
        lost
        for lost in runs
        if lost.upstream not in explained and not lost.had_output
    ]
    shared = _find_shared_parts(others)
    for run, part in _list_pairs(others):
        proven_at = find_proof(part, run.version)
        is_outdated = proven_at is not None and proven_at < run.at
        if is_outdated and part in shared[run.upstream]:
            found = evidence.setdefault(part, PartEvidence())
            found.add(run, is_proven=True)
    return evidence


def is_part_confirmed(evidence: PartEvidence, other_crashes: int) -> bool:
    """Check whether a part is the cause of the crashes that count against it.

    :param evidence: the evidence.
    :param other_crashes: recent crashes without the part that nothing explains.
    :returns: true if it is.
    """
    if len(evidence.requests) < MIN_REQUESTS:
        return False
    if not evidence.unproven:
        return len(evidence.outdated) >= CRASHES_DESPITE_PROOF
    runs = evidence.unproven.values()
    early = [run for run in runs if not run.had_output]
    return is_enough_evidence(
        len(early) + WEIGHT_AFTER_OUTPUT * (len(runs) - len(early)),
        sum(run.was_alone for run in early),
        other_crashes,
    )


def find_inseparable(
    part: str, evidence: Mapping[str, PartEvidence]
) -> frozenset[str]:
    """Find the parts that the evidence cannot separate from a confirmed one.

    :param part: key of the confirmed part.
    :param evidence: evidence by key of the part.
    :returns: keys of the parts, the confirmed one included.
    """
    if not evidence[part].unproven:
        return frozenset((part,))
    runs = evidence[part].runs
    lone = [
        run for run in runs.values() if run.was_alone and not run.had_output
    ]
    rivals = {part}
    for other, its_evidence in evidence.items():
        shared = [run for run in runs.values() if other in run.parts]
        is_rival = (
            bool(its_evidence.unproven)
            and len(shared) >= MIN_SHARED_CRASHES
            and len(runs) - len(shared) <= MAX_UNREPORTED_CRASHES
            and all(other in run.parts for run in lone)
        )
        if is_rival:
            rivals.add(other)
    return frozenset(rivals)


def find_best_explanation(
    evidence: Mapping[str, PartEvidence],
    count_others: Callable[[PartEvidence], int],
) -> str:
    """Find a part that is the cause of crashes.

    Where several parts crash upstreams at once, sound ones are at the crashes of
    each of them.  A part that shares crashes with another one is therefore
    blamed only if it explains more of them, and rather together with those that
    nothing separates from it than alone.

    :param evidence: evidence by key of the part.
    :param count_others: counts the recent crashes that nothing explains and
        that do not count against a part.
    :returns: key of the part, empty if none is confirmed.
    """
    frequent = {
        part: found
        for part, found in evidence.items()
        if len(found.runs) >= CRASHES_TO_QUARANTINE
    }
    groups = [
        (part, find_inseparable(part, evidence))
        for part, found in frequent.items()
        if is_part_confirmed(found, count_others(found))
    ]
    ranked = [
        (bool(evidence[part].unproven), len(group), len(evidence[part].runs))
        for part, group in groups
    ]
    best = [
        (rank, part)
        for rank, (part, group) in zip(ranked, groups, strict=True)
        if not _is_contested(part, group, evidence)
    ]
    return max(best)[1] if best else ''


def _is_contested(
    part: str, group: Set[str], evidence: Mapping[str, PartEvidence]
) -> bool:
    """Check whether another part explains the same crashes as well."""
    suspect = evidence[part]
    return any(
        other not in group
        and suspect.early & found.early
        and found.score >= suspect.score
        for other, found in evidence.items()
    )


def choose_part_mode(
    parts: Sequence[str],
    evidence: Mapping[str, PartEvidence],
    culprits: Iterable[PartCulprit],
    versions: Set[str],
) -> RunMode:
    """Decide how a request may run, given the parts of its prompt.

    :param parts: keys of the shared parts.
    :param evidence: evidence by key of the part.
    :param culprits: parts that crash upstreams.
    :param versions: software versions of the upstreams that could run it.
    :returns: how it may run; a request that would be refused is tried alone
        if one of the versions has not crashed under its parts.
    """
    present = frozenset(parts)
    modes = [
        _choose_culprit_mode(culprit, present, versions) for culprit in culprits
    ]
    crashes = max((_count_crashes(evidence, part) for part in parts), default=0)
    if crashes >= CRASHES_BEFORE_ISOLATION:
        modes.append(RunMode.alone)
    elif crashes:
        modes.append(RunMode.apart)
    return max(modes, key=rank_mode, default=RunMode.free)


def _choose_culprit_mode(
    culprit: PartCulprit, present: Set[str], versions: Set[str]
) -> RunMode:
    untried = versions - culprit.versions
    is_cured = bool(untried) and untried <= culprit.cured
    if not culprit.parts & present or (is_cured and untried == versions):
        return RunMode.free
    if not culprit.parts <= present:
        return RunMode.alone
    if not untried:
        return RunMode.refused
    return RunMode.apart if is_cured else RunMode.alone


def choose_trial_part(
    parts: Sequence[str],
    evidence: Mapping[str, PartEvidence],
    culprits: Iterable[PartCulprit],
) -> str:
    """Choose the part by which requests that run alone exclude each other.

    All entries choose the same one for requests with the same cause.

    :param parts: keys of the shared parts, in order.
    :param evidence: evidence by key of the part.
    :param culprits: parts that crash upstreams.
    :returns: the key, empty if none of them is suspected.
    """
    blamed = frozenset[str]().union(*(one.parts for one in culprits))
    ranked = [
        (part in blamed, _count_crashes(evidence, part), index, part)
        for index, part in enumerate(parts)
    ]
    is_blamed, crashes, _index, part = max(ranked, default=(False, 0, 0, ''))
    return part if is_blamed or crashes else ''


def rank_mode(run_mode: RunMode) -> int:
    """Rank a mode by how much it restricts a request.

    :param run_mode: how a request may run.
    :returns: 0 for no restriction.
    """
    return list(RunMode).index(run_mode)


def _find_shared_parts(runs: Iterable[LostRun]) -> dict[str, set[str]]:
    """Find the parts that all runs lost in one crash have in common."""
    shared: dict[str, set[str]] = {}
    for run in runs:
        shared.setdefault(run.upstream, set(run.parts)).intersection_update(
            run.parts
        )
    return shared


def _list_pairs(runs: Iterable[LostRun]) -> Iterator[tuple[LostRun, str]]:
    return ((run, part) for run in runs for part in run.parts)


def _count_crashes(evidence: Mapping[str, PartEvidence], part: str) -> int:
    found = evidence.get(part)
    return len(found.unproven) if found else 0


def _rank_strength(run: LostRun) -> tuple[bool, bool]:
    return (not run.had_output, run.was_alone)
