"""Decides how a request may run, given the upstreams that crashed under it.

Addresses a request that crashes each upstream that runs it, through a fault in
the engine, while its caller retries it at any entry.  Each crash removes an
upstream for seconds, and the requests in all of its slots are lost with the
cause: of the requests that share one crash, only one has caused it.

One crash therefore proves nothing.  Its requests run again at once, apart from
each other, and each request that completes is cleared.  A request with a
second crash runs alone: one at a time, without any other suspected request at
its upstream.  If that upstream crashes too, the request is refused.  Crashes
that a refused request has caused no longer count against the requests that ran
beside it.

Where upstreams crash without the request as well, one crash of a lone run is
weaker evidence: among three upstreams that crashed ten times in 8 s, three
innocent requests with the same content were refused.  Two such crashes are
needed then.  A crash counts as evidence only before the first event of the
run: the longer a run lasts, the likelier its upstream crashes for another
reason.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence, Set

    from wigeonpier.policy.promptparts import LostRun

# In a service that loses several upstreams a second, a second crash is more
# likely to be chance than not, so it only isolates the request.  Three crashes
# with one of them alone, or four, identify a cause.
CRASHES_BEFORE_ISOLATION = 2
CRASHES_TO_QUARANTINE = 3
CRASHES_TO_QUARANTINE_WITHOUT_LONE = 4
LONE_CRASHES_TO_QUARANTINE = 1
# Weight of crashes after the first output: a run that resumes where the last
# one stopped, and produces more, has passed the point that it was suspected of.
WEIGHT_AFTER_OUTPUT = 0.5
# A service is unstable for this time after an unexplained crash of another
# upstream.
UNSTABLE_SECONDS = 10.0
UNSTABLE_LONE_CRASHES_TO_QUARANTINE = 2
UNSTABLE_CRASHES_WITHOUT_LONE = 6
# Callers retry for hours.  A request that was not seen for this long, or that
# an engine of another version could run, is tried once more.
MEMORY_SECONDS = 3600.0
# More than any decision needs.  An item that crashes upstreams is tried for as
# long as it is owed.
MAX_CRASHES = 32
# Refused requests that callers retry are published at this interval.
RENEW_SECONDS = 60.0


class RunMode(StrEnum):
    """How a request may be run."""

    free = 'free'
    apart = 'apart'
    alone = 'alone'
    refused = 'refused'


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an upstream while a request ran there.

    :param upstream: its start, by id and incarnation.
    :param version: version of its software.
    :param at: when, seconds of this process's monotonic clock.
    :param was_alone: whether no other suspected request ran there.
    :param had_output: whether the run of the request had produced events.
    :param is_item: whether it was a run of a batch item, which isolates equal
        requests and proves nothing against them.
    """

    upstream: str
    version: str
    at: float
    was_alone: bool
    had_output: bool = False
    is_item: bool = False


@dataclass(slots=True)
class Suspect:
    """The crashes that count against one request.

    :param crashes: upstreams that crashed while it ran there, oldest first.
    :param last_seen_at: when it was last reported, seconds of the monotonic clock.
    :param is_culprit: whether it is known to crash upstreams.
    """

    crashes: list[Crash] = field(default_factory=list)
    last_seen_at: float = 0
    is_culprit: bool = False

    def add(self, crash: Crash) -> bool:
        """Add a crash.

        :param crash: the crash; the same start may be reported twice.
        :returns: whether it adds information.
        """
        self.last_seen_at = max(self.last_seen_at, crash.at)
        known = [one for one in self.crashes if one.upstream == crash.upstream]
        if known and _rank_evidence(crash) <= _rank_evidence(known[0]):
            return False
        self.crashes = [one for one in self.crashes if one not in known]
        latest = sorted((*self.crashes, crash), key=attrgetter('at'))
        self.crashes = latest[-MAX_CRASHES:]
        return crash in self.crashes

    def is_forgotten(self, now: float) -> bool:
        """Check whether the request was not seen for too long.

        :param now: seconds of the monotonic clock.
        :returns: true where nothing counts against it any more.
        """
        return not self.crashes or now - self.last_seen_at > MEMORY_SECONDS


def choose_run_mode(suspect: Suspect | None, versions: Set[str]) -> RunMode:
    """Decide how a request may be run.

    :param suspect: crashes that count against it, ``None`` for none.
    :param versions: software versions of the upstreams that could run it.
    :returns: how it may run; a request that would be refused is tried alone
        if one of the versions has not crashed under it.
    """
    if suspect is None or not suspect.crashes:
        return RunMode.free
    if suspect.is_culprit:
        untried = versions - {crash.version for crash in suspect.crashes}
        return RunMode.alone if untried else RunMode.refused
    if len(suspect.crashes) >= CRASHES_BEFORE_ISOLATION:
        return RunMode.alone
    return RunMode.apart


def is_confirmed(suspect: Suspect, other_crashes: int) -> bool:
    """Check whether a request is the cause of its crashes.

    :param suspect: crashes that count against it.
    :param other_crashes: recent crashes of upstreams without it, and without
        any request that is known to be the cause.
    :returns: true after three crashes, one of them alone and before any
        output, or after four; in an unstable service after three, two of them
        so, or after six.  Crashes after the first output count half, and
        those under batch items do not count.
    """
    crashes = [crash for crash in suspect.crashes if not crash.is_item]
    return _weigh(crashes, other_crashes)


def needs_pauses(suspect: Suspect | None) -> bool:
    """Check whether a batch item is tried only after pauses.

    :param suspect: crashes that count against it, ``None`` for none.
    :returns: true if an equal request is refused, or would be if the crashes
        under items were evidence.
    """
    if suspect is None or not suspect.crashes:
        return False
    return suspect.is_culprit or _weigh(suspect.crashes, 0)


def find_pauses_start(crashes: Iterable[Crash | LostRun]) -> float:
    """Find the crash after which a batch item was tried only after pauses.

    :param crashes: crashes that count against it, or a part of its prompt.
    :returns: its time, infinite if there is none, seconds of their clock.
    """
    count: float = 0
    lone = 0
    for crash in sorted(crashes, key=attrgetter('at')):
        count += WEIGHT_AFTER_OUTPUT if crash.had_output else 1
        lone += crash.was_alone and not crash.had_output
        if is_enough_evidence(count, lone, 0):
            return crash.at
    return math.inf


def is_enough_evidence(count: float, lone: int, other_crashes: int) -> bool:
    """Check whether crashes are enough to identify their cause.

    :param count: crashes, with less weight for those after some output.
    :param lone: crashes before any output without another suspected request.
    :param other_crashes: recent crashes that nothing explains.
    :returns: true if they are.
    """
    if other_crashes:
        has_lone_evidence = lone >= UNSTABLE_LONE_CRASHES_TO_QUARANTINE
        max_without_lone = UNSTABLE_CRASHES_WITHOUT_LONE
    else:
        has_lone_evidence = lone >= LONE_CRASHES_TO_QUARANTINE
        max_without_lone = CRASHES_TO_QUARANTINE_WITHOUT_LONE
    return count >= max_without_lone or (
        count >= CRASHES_TO_QUARANTINE and has_lone_evidence
    )


def _weigh(crashes: Sequence[Crash], other_crashes: int) -> bool:
    early = [crash for crash in crashes if not crash.had_output]
    late = len(crashes) - len(early)
    return is_enough_evidence(
        len(early) + WEIGHT_AFTER_OUTPUT * late,
        sum(crash.was_alone for crash in early),
        other_crashes,
    )


def _rank_evidence(crash: Crash) -> tuple[bool, bool]:
    return (not crash.is_item, crash.was_alone)
