"""Exchanges the suspected requests of two processes.

Heartbeats carry the same, but only once a second.  A process that has just
lost a request, or is about to send a suspected one, exchanges at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err

from wigeonpier.membership.updates import SuspicionUpdate
from wigeonpier.web.messages import Request, Response, answer_json, decode_body
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.membership.suspicions import Suspicions
    from wigeonpier.web.client import HttpClient

EXCHANGE_PATH = '/peer/v1/suspicions'
TIMEOUT_SECONDS = 0.5
MAX_UPDATE_BYTES = 4_000_000


def exchange_suspicions(
    client: HttpClient,
    address: str,
    suspicions: Suspicions,
) -> None:
    """Send the local state to another process and merge its state.

    :param client: connections to peers.
    :param address: ``host:port`` of the other process.
    :param suspicions: local state; it is left as it is if the other process
        does not answer, and heartbeats synchronize it later.
    """
    called = client.call(
        address,
        'POST',
        EXCHANGE_PATH,
        msgspec.json.encode(suspicions.describe()),
        timeout=TIMEOUT_SECONDS,
    )
    if not isinstance(called, Err) and called.ok_value.is_good:
        suspicions.merge(called.ok_value.decode(SuspicionUpdate))


def make_exchange_route(suspicions: Suspicions) -> Route:
    """Make the route on which other processes exchange suspicions.

    :param suspicions: local state.
    :returns: the route, for peers only.
    """

    def answer(request: Request) -> Response:
        request.body_limit = MAX_UPDATE_BYTES
        suspicions.merge(decode_body(request.read_body(), SuspicionUpdate))
        return answer_json(suspicions.describe())

    return make_route('POST', EXCHANGE_PATH, answer)
