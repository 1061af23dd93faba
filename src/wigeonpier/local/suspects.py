"""Records which requests were at the upstream when it crashed.

All requests to the upstream pass through this process, so it sees every one
that is lost in a crash.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.policy.fingerprint import digest_request
from wigeonpier.policy.suspicion import RunMode
from wigeonpier.policy.trial import IsolationLevel, TrialTable, Verdict
from wigeonpier.web import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.membership.ends import CrashDetector
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.web.messages import Request

NO_VERSION = frozenset(('',))
# Requests lost in one crash fail within some milliseconds of each other, and
# an upstream takes longer than this to start, so it cannot crash twice.
SAME_CRASH_SECONDS = 1.0


@dataclass(slots=True)
class LocalSuspects:
    """Admits requests and records how their runs ended.

    :param name: unique name of this start of the process, which prefixes the
        names of the upstream's starts.
    :param upstream: ``host:port`` of the upstream.
    :param suspicions: registry of suspected requests.
    :param crash_detector: detects whether the upstream has crashed.
    :param on_crash: called after a crash, to notify the entries soon.
    :param trials: running trials of suspected requests.
    """

    name: str
    upstream: str
    suspicions: Suspicions
    crash_detector: CrashDetector
    on_crash: Callable[[], None]
    trials: TrialTable = field(default_factory=TrialTable)
    _starts: int = 0
    _crashed_at: float = 0

    def start_run(self, request: Request, body: bytes) -> SuspectRun:
        """Start a run at the upstream.

        :param request: the request from an entry process.
        :param body: its body.
        :returns: the run, which the caller closes.
        :raises Refusal: when it must not run, or must not run now.
        """
        return SuspectRun(self, request, body, self._admit(request, body))

    def record_loss(
        self, fingerprint: str, isolation: IsolationLevel | None
    ) -> None:
        """Attribute a crash of the upstream, if it crashed, to a request.

        :param fingerprint: fingerprint of the lost request.
        :param isolation: isolation level of its run, ``None`` if it was not
            suspected.
        """
        start = f'{self.name}-{self._starts}'
        if not self.crash_detector.has_crashed(start, self.upstream):
            return
        now = time.monotonic()
        if now - self._crashed_at > SAME_CRASH_SECONDS:
            self._starts += 1
            self._crashed_at = now
        self.suspicions.record_crash(
            fingerprint,
            f'{self.name}-{self._starts}',
            '',
            was_alone=isolation is IsolationLevel.exclusive,
        )
        self.on_crash()

    def _admit(self, request: Request, body: bytes) -> IsolationLevel | None:
        if self.suspicions.is_empty:
            return None
        fingerprint = _get_fingerprint(request, body)
        run_mode = self.suspicions.get_run_mode(fingerprint, NO_VERSION)
        if run_mode is RunMode.free:
            return None
        if run_mode is RunMode.refused:
            raise Refusal(
                ErrorKind.ends_upstreams,
                'upstreams end when they run it',
            )
        return self._add_trial(fingerprint, run_mode)

    def _add_trial(self, fingerprint: str, run_mode: RunMode) -> IsolationLevel:
        is_alone = run_mode is RunMode.alone
        isolation = (
            IsolationLevel.exclusive
            if is_alone
            else IsolationLevel.admits_later
        )
        now = time.monotonic()
        if (
            self.trials.check(fingerprint, isolation, now)
            is not Verdict.granted
        ):
            raise Refusal(
                ErrorKind.overloaded,
                'another suspected request runs here',
            )
        self.trials.add(fingerprint, isolation, now)
        return isolation


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """One run of a request at the upstream.

    :param suspects: records how the run ends.
    :param request: the request.
    :param body: its body.
    :param isolation: isolation level of the run, ``None`` if the request is
        not suspected.
    """

    suspects: LocalSuspects
    request: Request
    body: bytes
    isolation: IsolationLevel | None

    def record_loss(self) -> None:
        """Record that the run was lost, perhaps in a crash."""
        self.suspects.record_loss(
            _get_fingerprint(self.request, self.body), self.isolation
        )

    def record_completion(self) -> None:
        """Record that the run completed, and clear the request if suspected."""
        if not self.suspects.suspicions.is_empty:
            fingerprint = _get_fingerprint(self.request, self.body)
            self.suspects.suspicions.clear(fingerprint)

    def close(self) -> None:
        """Remove the run from the trials."""
        if self.isolation is not None:
            self.suspects.trials.remove(
                _get_fingerprint(self.request, self.body)
            )


def _get_fingerprint(request: Request, body: bytes) -> str:
    """Return the fingerprint of a request.

    The entry sends it for a request that continues a partial answer, whose
    body differs from the original.
    """
    received = request.headers.get(headers.FINGERPRINT)
    if received:
        return received
    customer = request.headers.get(headers.CUSTOMER, '')
    target = request.path
    if request.query:
        target = f'{target}?{request.query}'
    return digest_request(customer, request.method, target, body)
