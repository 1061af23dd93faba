"""Stand-in weight store with a rate limit."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.web.messages import Response, answer_json
from wigeonpier.web.server import Server, dispatch_to, make_route

if TYPE_CHECKING:
    from wigeonpier.web.messages import Request


class StandInWeightStore:
    """Serves few loads at a time and refuses the rest."""

    def __init__(self, at_once: int = 2, seconds: float = 0.2) -> None:
        """Allow so many loads at once, each takes so long."""
        self.at_once = at_once
        self.in_hand = 0
        self.most_in_hand = 0
        self.refused = 0
        self.loads: list[tuple[float, str]] = []
        self._seconds = seconds

    def handle(self, request: Request) -> Response:
        """Answer one call.

        :param request: the call.
        :returns: the answer.
        """
        route = make_route('GET', '/weights/([^/]+)/([^/]+)', self._load)
        return dispatch_to([route])(request)

    def serve(self, host: str = '127.0.0.1', port: int = 0) -> Server:
        """Listen for calls.

        :param host: address to listen on.
        :param port: port, 0 for a free one.
        :returns: the running server.
        """
        server = Server(host, port, self.handle)
        server.start()
        return server

    def _load(self, _request: Request, name: str, version: str) -> Response:
        if self.in_hand >= self.at_once:
            self.refused += 1
            raise Refusal(ErrorKind.limit_reached, 'too many loads at once')
        self.in_hand += 1
        self.most_in_hand = max(self.most_in_hand, self.in_hand)
        gevent.sleep(self._seconds)
        self.in_hand -= 1
        self.loads.append((time.monotonic(), f'{name}:{version}'))
        return answer_json({'name': name, 'version': version})
