"""Receives updates on suspected requests at a worker."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from wigeonpier.membership.updates import PartUpdate, SuspicionUpdate
from wigeonpier.web.messages import Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.policy.trial import TrialTable

NEWS_PATH = '/suspicions'
# Largest state of a process, at 150 bytes a crash.
MAX_UPDATE_BYTES = 4_000_000


class SuspicionHandler:
    """Handles the updates that entries send.

    Entries that follow the load feed receive them at once.
    """

    def __init__(
        self,
        suspicions: Suspicions,
        trials: TrialTable,
        on_parts: Callable[[PartUpdate], None],
    ) -> None:
        """Create the handler.

        :param suspicions: suspected requests that this worker knows.
        :param trials: suspected requests at the upstream.
        :param on_parts: called with what is new here about parts of prompts.
        """
        self._on_parts = on_parts
        self._suspicions = suspicions
        self._trials = trials

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [make_route('POST', NEWS_PATH, self._receive)]

    def _receive(self, request: Request) -> Response:
        request.body_limit = MAX_UPDATE_BYTES
        update = decode_body(request.read_body(), SuspicionUpdate)
        # Known facts release trials as well: the run that finished or crashed
        # may have been at this upstream.
        for fingerprint in (*update.cleared, *update.released):
            self._trials.remove(fingerprint)
        for crash in update.ends:
            self._trials.remove(crash.fingerprint)
        self._on_parts(self._suspicions.merge(update).parts)
        return Response(HTTPStatus.OK, b'{}')
