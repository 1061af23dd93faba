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
    :param state: state that is reported to entries.
    :param reason: counts of outcomes that led to the state.
    :param evidence: outcomes by which the upstream was last judged.
    :param ejections: ejections since it last recovered.
    :param trial_at: no trial before then, seconds.
    :param changes: number of changes of the state, and of ejections during
        an ejection.
    :param changed_at: when the last of them was, seconds; earlier outcomes
        do not count any more.
    :param is_by_score: whether outcomes of several entries led to the ejection.
    :param settled: requests that failed before the last return.
    :param successes: successful trials.
    :param granted_at: when the current trial began, seconds.
    :param tried_at: when the last trial began, seconds.
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
    changes: int = 0
    changed_at: float = -math.inf
    is_by_score: bool = False
    settled: frozenset[str] = frozenset()
    successes: int = 0
    granted_at: float = -math.inf
    tried_at: float = -math.inf
    grants: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_GRANTS),
    )


def record_grant(record: HealthRecord, now: float) -> None:
    """Record that a request has been granted a slot.

    :param record: changed in place.
    :param now: seconds.
    """
    record.granted_at = now
    record.tried_at = now
    record.grants.append(now)


def record_evidence(record: HealthRecord, outcome: Evidence) -> None:
    """Take one outcome into account.

    :param record: changed in place.
    :param outcome: the outcome; ignored if it is from before the last change
        of the state, and during a trial unless it is one.  A healthy upstream
        is not judged by requests that were sent before it returned.
    """
    if outcome.at < record.changed_at:
        return
    is_taken_back = _take_back(record, outcome)
    if record.state is HealthState.healthy:
        if outcome.sent_at >= record.changed_at:
            _judge(record, outcome)
    elif record.state is HealthState.on_trial:
        _judge_trial(record, outcome)
    elif is_taken_back:
        _reconsider(record, outcome.at)
    elif outcome.has_failed:
        # Known, so that it does not count once more during the next trial.
        record.evidence.append(outcome)


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

    An upstream that gets neither requests that may be repeated nor items would
    stay on trial for ever, so it returns without a trial in the end.

    :param record: changed in place.
    :param now: seconds.
    :param has_items: whether batch items wait or run, which are tried first.
    """
    if (
        record.state is HealthState.on_trial
        and now - max(record.tried_at, record.changed_at) >= MAX_PAUSE_SECONDS
    ):
        _return(record, now, 'no request or batch item to try it with')
    if record.state is not HealthState.ejected or now < record.trial_at:
        return
    if has_items and now < record.trial_at + ITEM_TRIAL_SECONDS:
        return
    _change(record, HealthState.on_trial, now)
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
    elif not is_trial or outcome.at < record.changed_at:
        return
    elif not outcome.has_failed:
        _return(record, outcome.at, 'a batch item completed on trial')
    elif not _is_known(record, outcome):
        record.evidence.append(outcome)
        _eject(record, outcome.at, 'a batch item failed on trial')


def _reconsider(record: HealthRecord, now: float) -> None:
    """Undo an ejection that the remaining outcomes do not support."""
    is_failing = shows_failing(record.evidence, record.grants)
    if record.is_by_score and not is_failing:
        record.ejections -= 1
        _return(record, now, 'silent requests were answered')


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
    is_recent = outcome.at - record.changed_at < RECOVERY_SECONDS
    if outcome.has_failed and is_recent and _is_settled(record, outcome):
        return
    record.evidence.append(outcome)
    _drop_old(record)
    if outcome.has_failed and shows_failing(record.evidence, record.grants):
        if outcome.at - record.changed_at > RECOVERY_SECONDS:
            record.ejections = 0
        _eject(record, outcome.at, describe(record.evidence))
        record.is_by_score = True


def _is_known(record: HealthRecord, outcome: Evidence) -> bool:
    return any(
        earlier.has_failed and earlier.fingerprint == outcome.fingerprint
        for earlier in record.evidence
    )


def _drop_old(record: HealthRecord) -> None:
    """Drop outcomes from before the window; they come in any order."""
    oldest = max(known.at for known in record.evidence) - WINDOW_SECONDS
    if any(known.at < oldest for known in record.evidence):
        recent = [known for known in record.evidence if known.at >= oldest]
        record.evidence.clear()
        record.evidence.extend(recent)
    while record.grants and record.grants[0] < oldest:
        record.grants.popleft()


def _is_settled(record: HealthRecord, outcome: Evidence) -> bool:
    return outcome.fingerprint in record.settled


def _judge_trial(record: HealthRecord, outcome: Evidence) -> None:
    if not outcome.is_trial:
        return
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
    _change(record, HealthState.ejected, now)
    record.is_by_score = False
    record.reason = reason
    record.trial_at = now + min(MAX_PAUSE_SECONDS, pause)
    record.ejections += 1


def _return(record: HealthRecord, now: float, reason: str) -> None:
    _change(record, HealthState.healthy, now)
    record.reason = reason
    # A request from before the return may be reported once more.
    record.settled = frozenset(
        known.fingerprint for known in record.evidence if known.has_failed
    )
    record.evidence.clear()
    record.grants.clear()


def _change(record: HealthRecord, state: HealthState, now: float) -> None:
    record.state = state
    record.changes += 1
    record.changed_at = max(now, record.changed_at)
