"""Reports the newest revision of the configuration to entries.

Hundreds of entries must confirm every second that no key was revoked.  If each
read for itself, each would cost the store a call a second, with thousands of
keys in the answer; a few processes that read for all entries cost a few calls.
An entry that alone has lost the store also stays in service.  Answers contain
a revision and its age, and no keys.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from gevent.lock import BoundedSemaphore
from result import Err

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.hosted.knowledge import Reading, read_clock
from wigeonpier.platform.operator import CONFIGURATION_KEY
from wigeonpier.policy import freshness
from wigeonpier.web.messages import JSON_TYPE, Request, Response
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.platform.store import KeyValueStore

NEWEST_PATH = '/newest'


class ReadingMessage(msgspec.Struct, frozen=True):
    """Newest revision of the configuration some time ago.

    :param revision: revision of its key.
    :param age: seconds since the reading was requested.
    """

    revision: int
    age: float


class NewestRevisionHandler:
    """Reads the revision of the configuration on request of entries."""

    def __init__(self, store: KeyValueStore, bound: float) -> None:
        """Read from the store.

        :param store: stores the configuration.
        :param bound: seconds within which a revoked key must be rejected.
        """
        self._store = store
        self._bound = bound
        self._last: Reading | None = None
        self._lock = BoundedSemaphore()

    def make_routes(self) -> list[Route]:
        """Make the routes for entries.

        :returns: the routes.
        """
        return [make_route('GET', NEWEST_PATH, self._answer)]

    def _answer(self, _request: Request) -> Response:
        # Coalesces concurrent reads into one request.
        with self._lock:
            reading = self._read()
        # The age is measured last, so that it is too low by no more than the
        # delay of the answer on its way to the entry.
        message = ReadingMessage(
            reading.revision, read_clock() - reading.asked_at
        )
        return Response(HTTPStatus.OK, msgspec.json.encode(message), JSON_TYPE)

    def _read(self) -> Reading:
        last = self._last
        if last and freshness.may_reuse_reading(
            read_clock() - last.asked_at,
            self._bound,
        ):
            return last
        asked_at = read_clock()
        read = self._store.read_revision(CONFIGURATION_KEY)
        if isinstance(read, Err):
            raise Refusal(ErrorKind.platform_down, 'the store does not answer')
        self._last = Reading(read.ok_value, asked_at)
        return self._last
