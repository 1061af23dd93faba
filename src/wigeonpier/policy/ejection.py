"""Decides from the outcomes of requests whether an upstream is ejected.

Addresses upstreams that fail 45 to 100 in 100 requests while their health
check passes, and requests that may be run only once, so that each failure
reaches a caller.  In the replay, 20 entries that each judge on their own,
after three failures in a row, lose 67 to 91 requests at one such upstream.
Here one process judges by the outcomes that all of them report.

The test is sequential (CUSUM): each outcome adds the logarithm of how much
likelier it is at a failing upstream than at an ordinary one.  Four failures in
a row eject.  Three would not do: an upstream that loses 5 in 100 answers has
three in a row once in 8,000 requests, which is once in 160 s at a site where
half of the upstreams lose that many at 100 requests a second.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from wigeonpier.reports import HealthState

# Share of requests that fail at an upstream to be ejected, and at one that
# only has the failures that the platform calls usual.
FAILING_SHARE = 0.45
ORDINARY_SHARE = 0.05
FAILURE_SCORE = math.log(FAILING_SHARE / ORDINARY_SHARE)
SUCCESS_SCORE = math.log((1 - FAILING_SHARE) / (1 - ORDINARY_SHARE))
# Just below four failures in a row.
EJECTION_SCORE = 4 * FAILURE_SCORE - 0.1
# Failures of one entry that count until the score is back at 0.  An entry with
# a bad link reaches half of the score, so that two entries are needed.
MAX_FAILURES_PER_ENTRY = 2
# At low load failures arrive at once, but successes only with the next
# reservation or never; older failures would add up without them.
WINDOW_SECONDS = 10.0
# Failures are reported at once, successes with the next reservation call of
# the same entry.  An upstream that has just begun to fail gets several calls
# while its first failures arrive, and these carry successes from before.  With
# 0.4 s, in which successes of this time are still missing, a replay of 6
# minutes had 4 ejections at 5 failures in 100 instead of 1.
CARRY_SECONDS = 0.2
MAX_EVIDENCE = 256
INITIAL_PAUSE_SECONDS = 1.5
MAX_PAUSE_SECONDS = 30.0
# An upstream that stays healthy this long starts with the first pause again.
RECOVERY_SECONDS = 30.0
TRIAL_SUCCESSES = 2
# A trial whose outcome is not reported by then is lost: an answer takes 0.6 s,
# and a silent upstream is reported after 0.6 s.
TRIAL_SECONDS = 2.0
# An item runs for 4 to 5 s; requests are tried instead if it takes longer.
ITEM_TRIAL_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """How the upstream handled one request.

    :param at: when it was reported, seconds.
    :param entry: process that reports it.
    :param fingerprint: the same for repeats of one request.
    :param has_failed: whether the upstream failed the request.
    :param is_silent: whether it has only not answered so far; a later success
        of the same request takes this back.
    :param count: number of requests, 1 unless all of them succeeded.
    """

    at: float
    entry: str
    fingerprint: str
    has_failed: bool
    is_silent: bool = False
    count: int = 1


@dataclass(slots=True)
class HealthRecord:
    """What the outcomes of requests show of one start of an upstream.

    :param incarnation: the start, 0 where it is unknown.
    :param state: what entries are told.
    :param reason: counts of outcomes that led to the state.
    :param evidence: outcomes by which the upstream was last judged.
    :param ejections: ejections since it last recovered.
    :param trial_at: no trial before then, seconds.
    :param returned_at: when it was last found healthy, seconds.
    :param successes: successful trials.
    :param granted_at: when the current trial began, seconds.
    """

    incarnation: int = 0
    state: HealthState = HealthState.healthy
    reason: str = ''
    evidence: deque[Evidence] = field(
        default_factory=lambda: deque(maxlen=MAX_EVIDENCE),
    )
    ejections: int = 0
    trial_at: float = 0
    returned_at: float = -math.inf
    successes: int = 0
    granted_at: float = -math.inf


def compute_score(evidence: deque[Evidence]) -> float:
    """Weigh outcomes for and against a failing upstream.

    :param evidence: outcomes, oldest first.  A request that failed counts
        once, whoever reports it, and an entry only
        :data:`MAX_FAILURES_PER_ENTRY` times.
    :returns: the score, 0 or more.
    """
    score: float = 0
    requests: set[str] = set()
    entries: Counter[str] = Counter()
    for outcome in sorted(evidence, key=_estimate_end):
        if not outcome.has_failed:
            score = max(0, score + outcome.count * SUCCESS_SCORE)
            if not score:
                entries.clear()
        elif (
            outcome.fingerprint not in requests
            and entries[outcome.entry] < MAX_FAILURES_PER_ENTRY
        ):
            requests.add(outcome.fingerprint)
            entries[outcome.entry] += 1
            score += FAILURE_SCORE
    return score


def record_evidence(record: HealthRecord, outcome: Evidence) -> None:
    """Take one outcome into account.

    :param record: changed in place.
    :param outcome: the outcome.
    """
    is_taken_back = _take_back(record, outcome)
    if record.state is HealthState.healthy:
        _judge(record, outcome)
    elif record.state is HealthState.on_trial:
        _judge_trial(record, outcome)
    elif outcome.has_failed:
        # Known, so that it does not count once more during the next trial.
        record.evidence.append(outcome)
    elif is_taken_back and compute_score(record.evidence) < EJECTION_SCORE:
        record.ejections -= 1
        _return(record, outcome.at, 'silent requests were answered')


def record_successes(record: HealthRecord, successes: Evidence) -> None:
    """Take successes into account of which only the number is known.

    :param record: changed in place.
    :param successes: their number; ignored unless the upstream is healthy,
        since they may be from before its ejection.
    """
    if record.state is HealthState.healthy:
        _judge(record, successes)


def advance(record: HealthRecord, now: float, *, has_items: bool) -> None:
    """Begin trials with requests once the pause is over.

    :param record: changed in place.
    :param now: seconds.
    :param has_items: whether batch items wait or run, which are tried first.
    """
    if record.state is not HealthState.ejected or now < record.trial_at:
        return
    if has_items and now < record.trial_at + ITEM_TRIAL_SECONDS:
        return
    record.state = HealthState.on_trial
    record.reason = f'paused after ejection {record.ejections}'
    record.successes = 0
    record.granted_at = -math.inf


def may_reserve(record: HealthRecord, now: float) -> bool:
    """Check whether a request may be sent to the upstream.

    :param record: health of the upstream.
    :param now: seconds.
    :returns: false while it is ejected, and during a trial.
    """
    if record.state is HealthState.on_trial:
        return now - record.granted_at >= TRIAL_SECONDS
    return record.state is HealthState.healthy


def limit_items(record: HealthRecord, now: float) -> int | None:
    """Limit the batch items at the upstream.

    :param record: health of the upstream.
    :param now: seconds.
    :returns: items that may run at once, ``None`` for no limit.
    """
    if record.state is HealthState.healthy:
        return None
    return int(record.state is HealthState.on_trial or now >= record.trial_at)


def record_item(
    record: HealthRecord, outcome: Evidence, *, is_trial: bool
) -> None:
    """Take the outcome of a batch item into account.

    :param record: changed in place.
    :param outcome: the outcome.
    :param is_trial: whether the item was started since the ejection.  The
        success of a whole item, which has many times the events of a request,
        completes the return.
    """
    if record.state is HealthState.healthy:
        record_evidence(record, outcome)
    elif is_trial and outcome.has_failed:
        _eject(record, outcome.at, 'a batch item failed on trial')
    elif is_trial:
        _return(record, outcome.at, 'a batch item completed on trial')


def describe(evidence: deque[Evidence]) -> str:
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


def _estimate_end(outcome: Evidence) -> float:
    """Estimate when the request of an outcome ended, seconds."""
    return outcome.at if outcome.has_failed else outcome.at - CARRY_SECONDS


def _take_back(record: HealthRecord, outcome: Evidence) -> bool:
    """Drop what was reported of the same request while it was silent."""
    earlier = [
        known
        for known in record.evidence
        if known.is_silent
        and known.entry == outcome.entry
        and known.fingerprint == outcome.fingerprint
    ]
    if outcome.has_failed:
        return False
    for known in earlier:
        record.evidence.remove(known)
    return bool(earlier)


def _judge(record: HealthRecord, outcome: Evidence) -> None:
    evidence = record.evidence
    evidence.append(outcome)
    while evidence[0].at < outcome.at - WINDOW_SECONDS:
        evidence.popleft()
    if outcome.has_failed and compute_score(evidence) >= EJECTION_SCORE:
        if outcome.at - record.returned_at > RECOVERY_SECONDS:
            record.ejections = 0
        _eject(record, outcome.at, describe(evidence))


def _judge_trial(record: HealthRecord, outcome: Evidence) -> None:
    if not outcome.has_failed:
        record.successes += 1
        record.granted_at = -math.inf
        if record.successes >= TRIAL_SUCCESSES:
            _return(record, outcome.at, f'{record.successes} trials succeeded')
        return
    # Requests that were sent before the ejection may fail once more later.
    known = {earlier.fingerprint for earlier in record.evidence}
    if outcome.fingerprint not in known:
        record.evidence.append(outcome)
        _eject(record, outcome.at, 'a request failed on trial')


def _eject(record: HealthRecord, now: float, reason: str) -> None:
    pause = INITIAL_PAUSE_SECONDS * 2**record.ejections
    record.state = HealthState.ejected
    record.reason = reason
    record.trial_at = now + min(MAX_PAUSE_SECONDS, pause)
    record.ejections += 1


def _return(record: HealthRecord, now: float, reason: str) -> None:
    record.state = HealthState.healthy
    record.reason = reason
    record.returned_at = now
    record.evidence.clear()
