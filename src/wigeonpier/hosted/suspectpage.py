"""Serves operators the suspected requests of an entry and clears them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.membership.updates import (
    CrashReport,
    PartUpdate,
    SuspicionUpdate,
)
from wigeonpier.policy.promptparts import digest_part
from wigeonpier.web.messages import Request, Response, answer_json
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.hosted.quarantine.store import QuarantineStore
    from wigeonpier.hosted.suspicionpublisher import SuspicionPublisher
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.policy.promptparts import LostRun

SUSPECTS_PATH = '/suspects'


class SuspectRow(msgspec.Struct):
    """One suspected request, or suspected parts of prompts.

    :param fingerprint: digest of the request or of the parts, as in log lines.
    :param is_refused: whether it is no longer run.
    :param age: seconds since the last report of it.
    :param ends: upstreams that crashed while it ran there.
    :param parts: the parts, empty for a request.
    """

    fingerprint: str
    is_refused: bool
    age: float
    ends: tuple[CrashReport, ...]
    parts: tuple[str, ...] = ()


class SuspectPage:
    """Answers operators' requests about suspected requests."""

    def __init__(
        self,
        suspicions: Suspicions,
        publisher: SuspicionPublisher,
        quarantine: QuarantineStore,
    ) -> None:
        """Create the page.

        :param suspicions: suspected requests that this entry knows.
        :param publisher: publishes what is cleared to all processes.
        :param quarantine: stored entries, removed when a request is cleared.
        """
        self._suspicions = suspicions
        self._publisher = publisher
        self._quarantine = quarantine

    def make_routes(self) -> list[Route]:
        """List the paths for operators.

        :returns: the routes.
        """
        return [
            make_route('GET', SUSPECTS_PATH, self._show),
            make_route('DELETE', f'{SUSPECTS_PATH}/([0-9a-f]+)', self._clear),
        ]

    def count_refused(self) -> int:
        """Count the requests that are no longer run.

        :returns: number of requests.
        """
        suspicions = self._suspicions
        return sum(suspicions.is_refused(name) for name in suspicions.suspects)

    def count_parts(self) -> int:
        """Count the culprits among the parts of prompts.

        :returns: number of culprits.
        """
        return len(self._suspicions.parts.culprits.by_name)

    def _show(self, _request: Request) -> Response:
        return answer_json([*self._list_requests(), *self._list_parts()])

    def _list_requests(self) -> list[SuspectRow]:
        now = time.monotonic()
        return [
            SuspectRow(
                name,
                self._suspicions.is_refused(name),
                round(now - suspect.last_seen_at, 1),
                tuple(self._suspicions.list_crashes(name)),
            )
            for name, suspect in self._suspicions.suspects.items()
        ]

    def _list_parts(self) -> list[SuspectRow]:
        now = time.monotonic()
        parts = self._suspicions.parts
        rows = [
            SuspectRow(
                culprit.name,
                True,
                round(now - culprit.last_seen_at, 1),
                _list_crashes(culprit.runs, now),
                tuple(sorted(culprit.parts)),
            )
            for culprit in parts.culprits.by_name.values()
        ]
        rows += [
            SuspectRow(
                digest_part(part),
                False,
                round(now - max(run.at for run in found.runs.values()), 1),
                _list_crashes(found.runs, now),
                (part,),
            )
            for part, found in parts.evidence.items()
        ]
        return rows

    def _clear(self, _request: Request, fingerprint: str) -> Response:
        lifted = SuspicionUpdate(parts=PartUpdate(lifted=(fingerprint,)))
        update = self._suspicions.merge(lifted)
        if not update.parts.lifted:
            update = self._suspicions.clear(fingerprint)
        if not update.parts.lifted and not update.cleared:
            raise Refusal(
                ErrorKind.not_found,
                f'nothing is held against {fingerprint} here',
            )
        self._publisher.publish(update)
        self._quarantine.forget(fingerprint)
        return answer_json({'cleared': fingerprint})


def _list_crashes(
    runs: dict[str, LostRun], now: float
) -> tuple[CrashReport, ...]:
    return tuple(
        CrashReport(
            run.request,
            run.upstream,
            run.version,
            round(now - run.at, 3),
            run.was_alone,
            run.had_output,
        )
        for run in runs.values()
    )
