"""Keeps records of what began streams, at workers, for all entries."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.hosted.origintable import OriginTable
from wigeonpier.policy.streamorigin import StreamOrigin
from wigeonpier.web.messages import JSON_TYPE, Request, Response, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.telemetry.metrics import Metrics

ORIGINS_PATH = '/origins'
SEARCH_PATH = '/origins/search'
# Some thousand streams, which an entry sends to a worker that has restarted.
MAX_REPORT_BYTES = 1_000_000
MAX_SEARCH_BYTES = 1000


class OriginReport(msgspec.Struct, frozen=True):
    """Streams that began at an entry.

    :param streams: service and version by key of the attempt.
    """

    streams: dict[str, StreamOrigin]


class OriginSearch(msgspec.Struct, frozen=True):
    """Asks what began a stream.

    :param key: key of the attempt.
    """

    key: str


class OriginAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers an :class:`OriginSearch`.

    :param origin: what began the stream, ``None`` if it is not recorded here.
    """

    origin: StreamOrigin | None = None


class OriginKeeper:
    """Handles the records and searches of entries."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a keeper without records.

        :param metrics: metrics of this process.
        """
        self.table = OriginTable()
        metrics.add_gauge('stream_origins', lambda: len(self.table))

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [
            make_route('POST', ORIGINS_PATH, self._receive),
            make_route('POST', SEARCH_PATH, self._search),
        ]

    def _receive(self, request: Request) -> Response:
        request.body_limit = MAX_REPORT_BYTES
        report = decode_body(request.read_body(), OriginReport)
        for key, origin in report.streams.items():
            self.table.record(key, origin)
        return Response(HTTPStatus.OK, b'{}')

    def _search(self, request: Request) -> Response:
        request.body_limit = MAX_SEARCH_BYTES
        wanted = decode_body(request.read_body(), OriginSearch)
        answer = OriginAnswer(self.table.find(wanted.key))
        return Response(HTTPStatus.OK, msgspec.json.encode(answer), JSON_TYPE)
