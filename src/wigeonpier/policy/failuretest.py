"""Weighs the outcomes of requests for and against a failing upstream.

Addresses upstreams that fail 45 to 100 in 100 requests, beside others that have
the failures that the platform calls usual, and entries with a bad link.

Two sequential tests (CUSUM) are applied: each outcome adds the logarithm of how
much likelier it is at a failing upstream than at an ordinary one.  One test is
for upstreams that fail nearly everything and ejects after four failures in a
row.  Three would not do: an upstream that loses 5 in 100 answers has three in a
row once in 8,000 requests, which is once in 160 s at a site where half of the
upstreams lose that many at 100 requests a second.  The other test is for
upstreams that fail half of the requests, and needs more failures: with the
threshold of the first one, a replay in which half of the upstreams lose 5 in
100 had an ejection in 3 of 6 minutes.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Share of requests that fail at an upstream that only has the failures that the
# platform calls usual.
ORDINARY_SHARE = 0.05
# No fewer failures eject.
MIN_FAILURES = 4
# Failures of one entry that count until the score is back at 0.
MAX_FAILURES_PER_ENTRY = 2
# Failures count only from so many entries, where as many report within the
# window, and otherwise from two.
MIN_FAILING_ENTRIES = 3
# Failures in a row after which an entry stops using the upstream by itself.
# Two such entries are enough: at a site of three, the third one would be found
# only by a seventh failed request.
ROW_OF_ONE_ENTRY = 3
# Shares of requests that fail at upstreams to be ejected, and failures in a row
# that eject at the lower share.
TOTAL_SHARE = 0.9
PARTIAL_SHARE = 0.45
PARTIAL_ROW = 6
# A failure is placed at most this long before it was known.  Slots that were
# granted earlier may be forgotten by then, and all others would follow it.
MAX_ORDER_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """How the upstream handled one request.

    :param at: when that was known, seconds.
    :param entry: process that reports it.
    :param fingerprint: the same for repeats of one request.
    :param has_failed: whether the upstream failed the request.
    :param is_silent: whether it has only not answered so far; a later success
        of the same request takes this back.
    :param count: number of requests, 1 unless all of them succeeded.
    :param is_trial: whether it was sent as a trial of an ejected upstream.
    :param took: time from the send to a failure, 0 where it is not known,
        seconds.
    """

    at: float
    entry: str
    fingerprint: str
    has_failed: bool
    is_silent: bool = False
    count: int = 1
    is_trial: bool = False
    took: float = 0

    @property
    def sent_at(self) -> float:
        """Tell when the request was sent, seconds."""
        return self.at - self.took

    @property
    def placed_at(self) -> float:
        """Tell where the outcome is placed among granted slots, seconds."""
        return self.at - min(self.took, MAX_ORDER_SECONDS)


@dataclass(frozen=True, slots=True)
class _Test:
    """A sequential test of an upstream.

    :param failure_score: what a failure adds to the score.
    :param success_score: what a success adds to the score, below 0.
    :param threshold: score that ejects.
    """

    failure_score: float
    success_score: float
    threshold: float


def _make_test(share: float, row: int) -> _Test:
    """Make a test.

    :param share: share of requests that fail at an upstream to be ejected.
    :param row: failures in a row that eject.
    """
    failure_score = math.log(share / ORDINARY_SHARE)
    return _Test(
        failure_score,
        math.log((1 - share) / (1 - ORDINARY_SHARE)),
        # Rounding must not require one more failure.
        row * failure_score - 0.1,
    )


_TESTS = (
    _make_test(TOTAL_SHARE, MIN_FAILURES),
    _make_test(PARTIAL_SHARE, PARTIAL_ROW),
)
# Stands for the success of a request that was granted a slot.
_GRANTED = Evidence(0, '', '', has_failed=False)


def shows_failing(
    evidence: Collection[Evidence], grants: Collection[float]
) -> bool:
    """Weigh outcomes for and against a failing upstream.

    :param evidence: outcomes.
    :param grants: when requests were granted a slot, oldest first, seconds.
    :returns: whether the upstream is to be ejected.
    """
    failed = {outcome.fingerprint for outcome in evidence if outcome.has_failed}
    if len(failed) < MIN_FAILURES:
        return False
    reporting = {outcome.entry for outcome in evidence}
    min_entries = max(2, min(MIN_FAILING_ENTRIES, len(reporting)))
    outcomes = _list_outcomes(evidence, grants)
    return any(_is_positive(test, outcomes, min_entries) for test in _TESTS)


def describe(evidence: Iterable[Evidence]) -> str:
    """Describe outcomes by their numbers.

    :param evidence: the outcomes.
    :returns: text for logs.
    """
    failed = [outcome for outcome in evidence if outcome.has_failed]
    silent = sum(outcome.is_silent for outcome in failed)
    entries = len({outcome.entry for outcome in failed})
    requests = len({outcome.fingerprint for outcome in failed})
    total = sum(outcome.count for outcome in evidence)
    return (
        f'{len(failed)} of {total} outcomes failed, {silent} silent, '
        f'{entries} entries, {requests} requests'
    )


@dataclass(slots=True)
class _Tally:
    """State of a test.

    A request that failed counts once, whoever reports it, and an entry only
    :data:`MAX_FAILURES_PER_ENTRY` times.  An entry that has failed before while
    others succeeded, and has not succeeded since, has a bad link: its failures
    only count as those of one more entry.

    :param test: the test.
    :param score: score of the outcomes so far.
    :param requests: requests that failed.
    :param entries: failures that count since the score was 0, by entry.
    :param doubtful: entries with a bad link.
    :param rows: failures since the last success of any request, by entry.
    """

    test: _Test
    score: float = 0
    requests: set[str] = field(default_factory=set)
    entries: Counter[str] = field(default_factory=Counter)
    doubtful: set[str] = field(default_factory=set)
    rows: Counter[str] = field(default_factory=Counter)

    def add(self, outcome: Evidence) -> None:
        """Add the next outcome."""
        if outcome.has_failed:
            self._add_failure(outcome)
            return
        if outcome.count:
            self.rows.clear()
        gain = outcome.count * self.test.success_score
        self.score = max(0, self.score + gain)
        self.doubtful.discard(outcome.entry)
        if not self.score:
            self.doubtful.update(self.entries)
            self.entries.clear()

    def is_positive(self, min_entries: int) -> bool:
        """Tell whether failures of so many entries reach the threshold."""
        has_score = self.score >= self.test.threshold
        if not has_score or self.entries.total() < MIN_FAILURES:
            return False
        stopped = [row for row in self.rows.values() if row >= ROW_OF_ONE_ENTRY]
        return len(self.entries) >= min_entries or len(stopped) > 1

    def _add_failure(self, outcome: Evidence) -> None:
        self.rows[outcome.entry] += outcome.fingerprint not in self.requests
        if outcome.entry in self.doubtful:
            self.entries.setdefault(outcome.entry, 0)
        elif (
            outcome.fingerprint not in self.requests
            and self.entries[outcome.entry] < MAX_FAILURES_PER_ENTRY
        ):
            self.requests.add(outcome.fingerprint)
            self.entries[outcome.entry] += 1
            self.score += self.test.failure_score


def _is_positive(
    test: _Test, outcomes: list[Evidence], min_entries: int
) -> bool:
    tally = _Tally(test)
    for outcome in outcomes:
        tally.add(outcome)
    return tally.is_positive(min_entries)


def _list_outcomes(
    evidence: Collection[Evidence], grants: Collection[float]
) -> list[Evidence]:
    """List outcomes, oldest first, with slots that stand for successes.

    The slots of failed requests are left out: for each failure that which was
    granted last before it was sent.  The order is that of the sends, since
    requests that were sent after the last failed one may still fail, and show
    nothing yet.  Reported successes then only show which entries succeed.
    """
    if not grants:
        return sorted(evidence, key=_get_time)
    remaining = deque(grants)
    listed: list[Evidence] = []
    end = 0
    for outcome in sorted(evidence, key=_get_place):
        while remaining and remaining[0] <= outcome.placed_at:
            remaining.popleft()
            listed.append(_GRANTED)
        if not outcome.has_failed:
            listed.append(replace(outcome, count=0))
            continue
        _drop_last_grant(listed)
        listed.append(outcome)
        end = len(listed)
    return listed[:end]


def _drop_last_grant(listed: list[Evidence]) -> None:
    for index in range(len(listed) - 1, -1, -1):
        if listed[index] is _GRANTED:
            listed.pop(index)
            return


def _get_time(outcome: Evidence) -> float:
    return outcome.at


def _get_place(outcome: Evidence) -> float:
    return outcome.placed_at
