"""Stand-in plain service, some of whose calls must not be repeated."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
import msgspec

from wigeonpier.web.messages import Response, answer_json
from wigeonpier.web.server import Server, dispatch_to, make_route

if TYPE_CHECKING:
    from wigeonpier.web.messages import Request

MOST_BODY = 1_000_000


class StandInCatalogue:
    """Keeps tracks and credits; each credit pays out once a call."""

    def __init__(self, seconds: float = 0.005) -> None:
        """Answer after some seconds."""
        self.credits: Counter[str] = Counter()
        self.reads = 0
        self._seconds = seconds

    def handle(self, request: Request) -> Response:
        """Answer one call.

        :param request: the call.
        :returns: the answer.
        """
        request.body_limit = MOST_BODY
        gevent.sleep(self._seconds)
        routes = [
            make_route('GET', '/tracks/([^/]+)', self._read_track),
            make_route('POST', '/credits', self._pay_credit),
            make_route('GET', '/healthz', _answer_health),
        ]
        return dispatch_to(routes)(request)

    def serve(self, host: str = '127.0.0.1', port: int = 0) -> Server:
        """Listen for calls.

        :param host: address to listen on.
        :param port: port, 0 for a free one.
        :returns: the running server.
        """
        server = Server(host, port, self.handle)
        server.start()
        return server

    def _read_track(self, _request: Request, track: str) -> Response:
        self.reads += 1
        return answer_json({'track': track, 'credits': self.credits[track]})

    def _pay_credit(self, request: Request) -> Response:
        asked = msgspec.json.decode(request.read_body())
        self.credits[asked['track']] += 1
        return answer_json({'track': asked['track'], 'paid': True})


def _answer_health(_request: Request) -> Response:
    return answer_json({'ok': True})
