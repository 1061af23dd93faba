"""Customers of the fault soak: key rotation and rate limits."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.proxy import ProxyFault
from wigeonpier.platform import wire
from wigeonpier.served import ServedCustomer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from wigeonpier.bench.replica import ReceivedRequest
    from wigeonpier.bench.soakcallers import SoakCallers
    from wigeonpier.bench.soaksite import SoakSite

CALM = ServedCustomer('calm')
ROTATING = ServedCustomer('turning')
HOT = ServedCustomer('hot', rate=4, burst=4)
CALM_KEY = 'soak-key-calm'
HOT_KEY = 'soak-key-hot'
UNKNOWN_KEY = 'soak-key-unknown'
PATH = '/ask/keys'
ROTATION_SECONDS = (0.8, 2.0)
REQUEST_GAP_SECONDS = 0.06
BURST_GAP_SECONDS = 0.03
BURST_SECONDS = (1.0, 3.0)
PAUSE_SECONDS = (0.5, 2.0)
# Longer than REVOKE_SECONDS, so that cached keys expire meanwhile.
ISOLATION_SECONDS = 5.0
STEP_SECONDS = 0.1
# Bounds from the settings of the daemons (`processes.SETTINGS_TEMPLATE`).
REVOKE_SECONDS = 3.0
WINDOW_SECONDS = 5.0
QUOTA_SLACK = 10
QUOTA_OVERAGE = 0.1
# Statuses that the customer below its limit must never receive.
UNEXPECTED_STATUSES = frozenset((401, 403, 404, 429))


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a caller sent.

    :param key: key of the request.
    :param sent_at: seconds of the monotonic clock.
    """

    key: str
    sent_at: float


@dataclass
class SoakKeys:
    """Rotates keys, and sends requests with current, old and unknown keys.

    :param site: site whose configuration is changed.
    :param callers: callers that send the requests.
    :param rng: chooses keys and times.
    :param sent: requests by id.
    :param revoked_at: time of the confirmed revocation by key, seconds of the
        monotonic clock.
    :param counts: number of injected events by name.
    """

    site: SoakSite
    callers: SoakCallers
    rng: random.Random
    sent: dict[str, SentRequest] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    _rotations: int = 0

    def prepare(self) -> None:
        """Add the customers to the configuration."""
        self.callers.key = CALM_KEY
        self.site.customers = {
            CALM_KEY: CALM,
            HOT_KEY: HOT,
            self._make_key(): ROTATING,
        }
        self.site.configure()

    def run(self, seconds: float) -> None:
        """Send requests and rotate keys.

        :param seconds: duration.
        """
        loops = [
            gevent.spawn(loop, time.monotonic() + seconds)
            for loop in (
                self._rotate_keys,
                self._send_requests,
                self._send_bursts,
                self._isolate_all,
            )
        ]
        gevent.joinall(loops)

    def find_violations(self, runs: Iterable[ReceivedRequest]) -> list[str]:
        """Check the observations of upstreams and callers.

        :param runs: requests that upstreams ran.
        :returns: description of each violated invariant.
        """
        received = list(runs)
        violations = [
            text for run in received if (text := self._check_run(run))
        ]
        violations += check_windows(self._list_hot(received))
        calm = self.callers.count_outcomes()
        violations += [
            f'{count} answers of {status} to a customer below its limit'
            for status, count in calm.items()
            if int(status) in UNEXPECTED_STATUSES
        ]
        return violations

    def _check_run(self, run: ReceivedRequest) -> str:
        """Describe what is wrong with a run, empty for nothing."""
        header_text = ' '.join(run.headers.values())
        if 'soak-key-' in header_text:
            return f'{run.identity}: the key was forwarded to the upstream'
        name = run.headers.get(wire.CUSTOMER.lower(), '')
        sent = self.sent.get(run.identity)
        if sent is None:
            is_right = name == CALM.name
            return '' if is_right else f'{run.identity}: run as {name!r}'
        if sent.key == UNKNOWN_KEY:
            return f'{run.identity}: run with an unknown key'
        key_revoked_at = self.revoked_at.get(sent.key)
        if key_revoked_at and sent.sent_at > key_revoked_at + REVOKE_SECONDS:
            late = sent.sent_at - key_revoked_at
            return f'{run.identity}: run {late:.1f} s after its key was revoked'
        expected = HOT.name if sent.key == HOT_KEY else ROTATING.name
        return '' if name == expected else f'{run.identity}: run as {name!r}'

    def _list_hot(
        self,
        runs: list[ReceivedRequest],
    ) -> list[tuple[float, float]]:
        """List send time and first run of each request of the hot customer."""
        first: dict[str, float] = {}
        for run in runs:
            sent = self.sent.get(run.identity)
            if sent and sent.key == HOT_KEY:
                earliest = first.get(run.identity, run.at)
                first[run.identity] = min(earliest, run.at)
        return sorted(
            (self.sent[name].sent_at, at) for name, at in first.items()
        )

    def _rotate_keys(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(*ROTATION_SECONDS))
            old = self._make_key()
            self._rotations += 1
            self.counts['key turned'] += 1
            self.site.customers = {
                CALM_KEY: CALM,
                HOT_KEY: HOT,
                self._make_key(): ROTATING,
            }
            self.site.version += 1
            self.site.configure()
            self.revoked_at[old] = time.monotonic()

    def _send_requests(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            key = self.rng.choice(
                (self._make_key(), *self.revoked_at, UNKNOWN_KEY),
            )
            self._send(key)
            gevent.sleep(REQUEST_GAP_SECONDS)

    def _send_bursts(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            self.counts['burst'] += 1
            until = time.monotonic() + self.rng.uniform(*BURST_SECONDS)
            while time.monotonic() < min(until, deadline):
                self._send(HOT_KEY)
                gevent.sleep(BURST_GAP_SECONDS)
            gevent.sleep(self.rng.uniform(*PAUSE_SECONDS))

    def _isolate_all(self, deadline: float) -> None:
        """Cut all processes off from the store until cached keys expire."""
        gevent.sleep(self.rng.uniform(*PAUSE_SECONDS))
        if deadline - time.monotonic() < ISOLATION_SECONDS:
            return
        self.counts['all cut off'] += 1
        until = time.monotonic() + ISOLATION_SECONDS
        while time.monotonic() < until:
            for process in self.site.processes:
                process.store.fault = ProxyFault.silent
            gevent.sleep(STEP_SECONDS)
        for process in self.site.processes:
            process.store.fault = ProxyFault.none

    def _send(self, key: str) -> None:
        name = f'k{len(self.sent)}'
        self.sent[name] = SentRequest(key, time.monotonic())
        gevent.spawn(self.callers.send_with_key, key, PATH, name)

    def _make_key(self) -> str:
        return f'soak-key-{self._rotations}'


def check_windows(runs: list[tuple[float, float]]) -> list[str]:
    """Check a customer's requests against its limit in every window.

    :param runs: send time and time of the first run of each request, in order
        of sending, seconds of the monotonic clock.
    :returns: description of the first violation, if any.
    """
    limit = (HOT.rate * WINDOW_SECONDS + HOT.burst) * (
        1 + QUOTA_OVERAGE
    ) + QUOTA_SLACK
    violations = []
    for begin, _ran in runs:
        end = begin + WINDOW_SECONDS
        count = sum(sent >= begin and ran <= end for sent, ran in runs)
        if count > limit:
            violations.append(f'{count} requests of a customer ran in a window')
    return violations[:1]
