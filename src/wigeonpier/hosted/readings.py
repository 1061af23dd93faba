"""Serves the results of jobs to entries from one process per job.

The calls of a job arrive at any entry.  When each of 58 entries read the store
itself, one call per read, that made 3,287 of the 8,021 calls of a day with
little load.  Now one process with a disk follows the job and answers all
entries.
"""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlencode

import msgspec

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.views import make_unreadable_refusal
from wigeonpier.web.messages import JSON_TYPE, Request, Response
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.hosted.contact import StoreHealth
    from wigeonpier.hosted.following import FollowedJobs

READINGS_PATH = '/results/'
AFTER = 'after'
WAIT = 'wait'
# A result that was read at any entry must be readable at all others one second
# later.
MAX_CONTACT_AGE_SECONDS = 0.5


def make_target(job: str, after: int, wait: float) -> str:
    """Make the request target for reading results.

    :param job: id of the job.
    :param after: position of the first result wanted.
    :param wait: longest wait for a result, seconds.
    :returns: path with query.
    """
    return f'{READINGS_PATH}{job}?{urlencode({AFTER: after, WAIT: wait})}'


class ReadingHandler:
    """Handles the calls of entries that read results."""

    def __init__(self, jobs: FollowedJobs, store_health: StoreHealth) -> None:
        """Answer from followed jobs while the store is reachable."""
        self._jobs = jobs
        self._store_health = store_health

    def make_routes(self) -> list[Route]:
        """List the routes that entries call.

        :returns: the routes.
        """
        return [make_route('GET', f'{READINGS_PATH}([^/]+)', self._answer)]

    def _answer(self, request: Request, name: str) -> Response:
        after, wait = _read_query(request.query)
        if self._store_health.is_unreachable:
            raise make_unreadable_refusal()
        view = self._jobs.find(name)
        self._jobs.await_results(view, after, wait)
        if len(view.results) <= after and not view.is_finished:
            self._check_contact()
        page = msgspec.json.encode(view.make_page(after))
        return Response(HTTPStatus.OK, page, JSON_TYPE)

    def _check_contact(self) -> None:
        """Check that the store is reachable before reporting no new results.

        For seconds, a call that waits for results cannot be distinguished from
        one whose connection was lost.
        """
        min_answered_at = time.monotonic() - MAX_CONTACT_AGE_SECONDS
        if not self._store_health.has_answered_since(min_answered_at):
            self._store_health.probe()
        if not self._store_health.has_answered_since(min_answered_at):
            raise make_unreadable_refusal()


def _read_query(query: str) -> tuple[int, float]:
    fields = parse_qs(query)
    try:
        return int(fields[AFTER][0]), float(fields[WAIT][0])
    except (KeyError, ValueError) as error:
        raise Refusal(
            ErrorKind.invalid_request,
            f'{query!r} names no results',
        ) from error
