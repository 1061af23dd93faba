"""Serves operators the suspected requests of an entry and clears them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.membership.updates import CrashReport
from wigeonpier.web.messages import Request, Response, answer_json
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.hosted.quarantine.store import QuarantineStore
    from wigeonpier.hosted.suspicionpublisher import SuspicionPublisher
    from wigeonpier.membership.suspicions import Suspicions

SUSPECTS_PATH = '/suspects'


class SuspectRow(msgspec.Struct):
    """One suspected request.

    :param fingerprint: digest of the request, as in log lines.
    :param is_refused: whether it is no longer run.
    :param age: seconds since the last report of it.
    :param ends: upstreams that crashed while it ran there.
    """

    fingerprint: str
    is_refused: bool
    age: float
    ends: tuple[CrashReport, ...]


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

    def _show(self, _request: Request) -> Response:
        now = time.monotonic()
        return answer_json(
            [
                SuspectRow(
                    name,
                    self._suspicions.is_refused(name),
                    round(now - suspect.last_seen_at, 1),
                    tuple(self._suspicions.list_crashes(name)),
                )
                for name, suspect in self._suspicions.suspects.items()
            ],
        )

    def _clear(self, _request: Request, fingerprint: str) -> Response:
        update = self._suspicions.clear(fingerprint)
        if not update.cleared:
            raise Refusal(
                ErrorKind.not_found,
                f'nothing is held against {fingerprint} here',
            )
        self._publisher.publish(update)
        self._quarantine.forget(fingerprint)
        return answer_json({'cleared': fingerprint})
