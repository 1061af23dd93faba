"""Admits one run of a suspected item at a time in the fleet.

Workers do not know each other.  Without a common lock each of them would try an
item with the same crashing part at the same moment, and all their upstreams
would crash together.  The lock is a key in the store under a short lease.
"""

from __future__ import annotations

import math
import time
import traceback
from enum import StrEnum
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal
from result import Err, Ok, Result

from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Commit, Failure
from wigeonpier.policy.promptparts import digest_part
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.platform.store import KeyValueStore

# Upstreams crash soon after the start of a run, and reports of a crash reach
# the other workers before the lease expires.
LEASE_SECONDS = 3.0
# An item that was not started by then is tried later.
START_SECONDS = 1.0
RENEWAL_INTERVAL_SECONDS = 1.0
# A run that goes on for longer crashes nothing.
MAX_HELD_SECONDS = 10.0
# The pauses of a cause end at all workers at once.
SPREAD_SECONDS = 2.0
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0
RETRY_JITTER = 0.25
# The longest wait is reached before.
MAX_DOUBLINGS = 8
# Causes that are no longer tried are dropped, the oldest first.
MAX_CONFLICTS = 256


class LeaseState(StrEnum):
    """Whether a suspected item may be tried here."""

    held = 'held'
    pending = 'pending'
    unavailable = 'unavailable'


class TrialLeases:
    """Leases of this worker, by what runs exclude each other by."""

    def __init__(
        self,
        store: KeyValueStore,
        vm: str,
        refresh: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Hold no lease.

        :param store: the key-value service.
        :param vm: name of this worker's VM.
        :param refresh: reads what other workers have stored of their tries;
            called before a lease is used; false if the store does not answer.
        :param rng: spreads the calls of the workers.
        """
        self._store = store
        self._vm = vm
        self._refresh = refresh
        self._rng = rng
        # Requests in a row that found another holder, by trial.
        self._conflicts: dict[str, int] = {}
        self._states: dict[str, LeaseState] = {}
        self._ended: dict[str, Signal] = {}
        self._used: set[str] = set()
        self._lost: set[str] = set()

    def get_state(self, trial: str) -> LeaseState | None:
        """Look up a lease without requesting it.

        :param trial: what excludes other runs of the same cause.
        :returns: whether it is held, ``None`` if it is not requested.
        """
        return self._states.get(trial)

    def request(self, trial: str, *, is_shared: bool = False) -> LeaseState:
        """Request a lease in the background unless it is held.

        :param trial: what excludes other runs of the same cause.
        :param is_shared: whether many workers may have items with it.
        :returns: whether it is held; the caller asks again soon.
        """
        state = self._states.get(trial)
        if state is not None:
            return state
        self._states[trial] = LeaseState.pending
        gevent.spawn(self._serve, trial, is_shared=is_shared)
        return LeaseState.pending

    def use(self, trial: str) -> None:
        """Record that a run has started, for which a held lease is kept.

        :param trial: what excludes other runs of the same cause.
        """
        if self._states.get(trial) is LeaseState.held:
            self._used.add(trial)

    def release(self, trial: str, *, has_crashed: bool = False) -> None:
        """Release a lease.

        After a crash it expires by itself, so that the report of the crash is
        known to the worker that gets it next.

        :param trial: what excludes other runs of the same cause.
        :param has_crashed: whether the upstream has crashed under the run.
        """
        ended = self._ended.get(trial)
        if ended is None:
            return
        if has_crashed:
            self._lost.add(trial)
        self._states[trial] = LeaseState.pending
        self._used.discard(trial)
        ended.set()

    def _serve(self, trial: str, *, is_shared: bool) -> None:
        try:
            if is_shared and not self._conflicts.get(trial):
                gevent.sleep(self._rng.uniform(0, SPREAD_SECONDS))
            self._serve_once(trial)
        except Exception:
            # An item must not wait for this lease for ever.
            log_event(
                Event.loop_failed,
                loop='trial_leases',
                trial=trial,
                trace=traceback.format_exc(),
            )
            self._states[trial] = LeaseState.pending
            gevent.sleep(RETRY_SECONDS)
        finally:
            self._forget(trial)

    def _forget(self, trial: str) -> None:
        self._ended.pop(trial, None)
        self._used.discard(trial)
        self._lost.discard(trial)
        self._states.pop(trial, None)

    def _serve_once(self, trial: str) -> None:
        taken = self._take(trial)
        if isinstance(taken, Err):
            # Another worker has it, or the store does not answer.
            is_taken = taken.err_value is Failure.conflict
            if not is_taken:
                self._states[trial] = LeaseState.unavailable
            gevent.sleep(self._back_off(trial) if is_taken else RETRY_SECONDS)
        else:
            self._conflicts.pop(trial, None)
            self._keep(trial, taken.ok_value)

    def _back_off(self, trial: str) -> float:
        """Compute the wait after a conflict, which grows with each."""
        conflicts = self._conflicts.pop(trial, 0)
        if len(self._conflicts) >= MAX_CONFLICTS:
            self._conflicts.pop(next(iter(self._conflicts)))
        self._conflicts[trial] = min(conflicts + 1, MAX_DOUBLINGS)
        wait = min(MAX_RETRY_SECONDS, RETRY_SECONDS * math.pow(2, conflicts))
        return wait * self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)

    def _take(self, trial: str) -> Result[int, Failure]:
        key = storekeys.name_key(storekeys.TRIALS, digest_part(trial))
        found = self._store.read_revision(key)
        if isinstance(found, Err):
            return found
        if found.ok_value:
            return Err(Failure.conflict)
        granted_at = time.monotonic()
        granted = self._store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, Err):
            return granted
        change = Commit(
            {key: 0}, {key: self._vm.encode()}, (), granted.ok_value
        )
        written = self._store.commit(change)
        if isinstance(written, Err):
            return written
        return self._prepare(granted_at).map(lambda _: granted.ok_value)

    def _prepare(self, granted_at: float) -> Result[None, Failure]:
        """Read what the last holder has stored, while the lease lasts."""
        if not self._refresh():
            return Err(Failure.unavailable)
        # A run that starts last needs the lease until it is renewed.
        if time.monotonic() - granted_at > LEASE_SECONDS - START_SECONDS:
            return Err(Failure.conflict)
        return Ok(None)

    def _keep(self, trial: str, lease: int) -> None:
        """Renew a lease until its run has ended, or is not started in time."""
        log_event(Event.item_tried, trial=trial)
        ended = Signal()
        self._ended[trial] = ended
        self._states[trial] = LeaseState.held
        held_at = time.monotonic()
        ended.wait(START_SECONDS)
        while trial in self._used:
            if time.monotonic() - held_at > MAX_HELD_SECONDS:
                break
            renewed = self._store.renew_lease(lease)
            if renewed != Ok(True):
                # It expires by itself, as after a crash.
                log_event(Event.item_lease_lost, trial=trial)
                return
            ended.wait(RENEWAL_INTERVAL_SECONDS)
        if trial not in self._lost:
            self._store.revoke_lease(lease)
