"""Decides from the outcomes of requests whether an upstream is ejected.

Addresses upstreams that fail 45 to 100 in 100 requests while their health
check passes, and requests that may be run only once, so that each failure
reaches a caller.  In the replay, 20 entries that each judge on their own,
after three failures in a row, lose 67 to 91 requests at one such upstream.
Here one process judges by the outcomes that all of them report.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from wigeonpier.policy.failuretest import (
    Evidence,
    describe,
    shows_failing,
)
from wigeonpier.reports import HealthState

# At low load failures arrive at once, but successes only with the next
# reservation or never; older failures would add up without them.
WINDOW_SECONDS = 10.0
MAX_EVIDENCE = 256
# A slot that was granted stands for a success until a failure is reported.
# Failures are reported at once, successes with the next request of the same
# entry, which is 3 s later on average at 20 entries and 14 s at 380; so many
# are missing that a replay of 6 minutes had 2 ejections at 5 failures in 100.
# In a window an upstream of the target size grants 72.
MAX_GRANTS = 512
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
    :param grants: when requests were granted a slot, oldest first, seconds.
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
    grants: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_GRANTS),
    )


def record_grant(record: HealthRecord, now: float) -> None:
    """Record that a request has been granted a slot.

    :param record: changed in place.
    :param now: seconds.
    """
    record.granted_at = now
    record.grants.append(now)


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
    elif is_taken_back and not shows_failing(record.evidence, record.grants):
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
        completes the return.  An item that has failed before may be at fault
        itself, and fails no trial.
    """
    if record.state is HealthState.healthy:
        record_evidence(record, outcome)
    elif is_trial and outcome.has_failed:
        if not _is_known(record, outcome):
            record.evidence.append(outcome)
            _eject(record, outcome.at, 'a batch item failed on trial')
    elif is_trial:
        _return(record, outcome.at, 'a batch item completed on trial')


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
    while record.grants and record.grants[0] < outcome.at - WINDOW_SECONDS:
        record.grants.popleft()
    if outcome.has_failed and shows_failing(record.evidence, record.grants):
        if outcome.at - record.returned_at > RECOVERY_SECONDS:
            record.ejections = 0
        _eject(record, outcome.at, describe(evidence))


def _is_known(record: HealthRecord, outcome: Evidence) -> bool:
    return any(
        earlier.has_failed and earlier.fingerprint == outcome.fingerprint
        for earlier in record.evidence
    )


def _judge_trial(record: HealthRecord, outcome: Evidence) -> None:
    if not outcome.has_failed:
        record.successes += 1
        record.granted_at = -math.inf
        if record.successes >= TRIAL_SUCCESSES:
            _return(record, outcome.at, f'{record.successes} trials succeeded')
        return
    # Requests that were sent before the ejection may fail once more later.
    if not _is_known(record, outcome):
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
    record.grants.clear()
