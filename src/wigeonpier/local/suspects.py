"""Tells which requests were at the upstream when it ended.

All requests of the upstream come through this process, which alone sees all
that end with it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.policy.fingerprint import digest_request
from wigeonpier.policy.suspicion import Standing
from wigeonpier.policy.trial import Company, TrialTable, Verdict
from wigeonpier.web import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.membership.ends import EndFinder
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.web.messages import Request

NO_VERSION = frozenset(('',))
# Requests that end together are lost within some ms; no upstream ends twice
# within it, since it takes longer to start.
SAME_CRASH_SECONDS = 1.0


@dataclass(slots=True)
class LocalSuspects:
    """Admits requests, and learns from how their runs ended.

    :param name: of this start of the process, for the upstream's starts.
    :param upstream: ``host:port`` of the upstream.
    :param suspicions: what is known of suspected requests.
    :param crash_detector: finds out whether the upstream has ended.
    :param on_crash: called when it has, to tell others soon.
    """

    name: str
    upstream: str
    suspicions: Suspicions
    crash_detector: EndFinder
    on_crash: Callable[[], None]
    trials: TrialTable = field(default_factory=TrialTable)
    _starts: int = 0
    _crashed_at: float = 0

    def start_run(self, request: Request, body: bytes) -> SuspectRun:
        """Begin a run at the upstream.

        :param request: the request of an entry.
        :param body: its body.
        :returns: the run, to be closed.
        :raises Refusal: when it is not to be run, or not now.
        """
        return SuspectRun(self, request, body, self._admit(request, body))

    def record_loss(self, fingerprint: str, isolation: Company | None) -> None:
        """Hold the end of the upstream, if it has ended, against a request.

        :param fingerprint: what was lost.
        :param isolation: what it bore beside it, ``None`` for anybody.
        """
        start = f'{self.name}-{self._starts}'
        if not self.crash_detector.has_ended(start, self.upstream):
            return
        now = time.monotonic()
        if now - self._crashed_at > SAME_CRASH_SECONDS:
            self._starts += 1
            self._crashed_at = now
        self.suspicions.note_end(
            fingerprint,
            f'{self.name}-{self._starts}',
            '',
            was_alone=isolation is Company.nobody,
        )
        self.on_crash()

    def _admit(self, request: Request, body: bytes) -> Company | None:
        if self.suspicions.is_empty:
            return None
        fingerprint = _get_fingerprint(request, body)
        standing = self.suspicions.judge(fingerprint, NO_VERSION)
        if standing is Standing.free:
            return None
        if standing is Standing.refused:
            raise Refusal(
                ErrorKind.ends_upstreams,
                'upstreams end when they run it',
            )
        return self._add_trial(fingerprint, standing)

    def _add_trial(self, fingerprint: str, standing: Standing) -> Company:
        is_alone = standing is Standing.alone
        isolation = Company.nobody if is_alone else Company.latecomers
        now = time.monotonic()
        if self.trials.ask(fingerprint, isolation, now) is not Verdict.granted:
            raise Refusal(
                ErrorKind.overloaded,
                'another suspected request runs here',
            )
        self.trials.enter(fingerprint, isolation, now)
        return isolation


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """One run of a request at the upstream.

    :param suspects: learns from it.
    :param request: the request.
    :param body: its body.
    :param isolation: what it bears beside it, ``None`` where it is not
        suspected.
    """

    suspects: LocalSuspects
    request: Request
    body: bytes
    isolation: Company | None

    def record_loss(self) -> None:
        """Learn that it was lost; the upstream may have ended with it."""
        self.suspects.record_loss(
            _get_fingerprint(self.request, self.body), self.isolation
        )

    def record_completion(self) -> None:
        """Learn that it came to its end."""
        if not self.suspects.suspicions.is_empty:
            name = _get_fingerprint(self.request, self.body)
            self.suspects.suspicions.clear(name)

    def close(self) -> None:
        """Give up its place among the suspected."""
        if self.isolation is not None:
            self.suspects.trials.leave(
                _get_fingerprint(self.request, self.body)
            )


def _get_fingerprint(request: Request, body: bytes) -> str:
    """Name a request by its content; the entry does so where it goes on."""
    sent = request.headers.get(headers.FINGERPRINT)
    if sent:
        return sent
    caller = request.headers.get(headers.CUSTOMER, '')
    target = request.path
    if request.query:
        target = f'{target}?{request.query}'
    return digest_request(caller, request.method, target, body)
