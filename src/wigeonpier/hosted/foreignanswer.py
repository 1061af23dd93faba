"""Tells the answers to a request from those to other requests.

An upstream may send an answer again when the next one on the connection is
due.  Such an answer says nothing about the request that waits for one.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from wigeonpier.platform import ingress
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.responseparser import ResponseHead

# Reports of an upstream's load bear no id.
NO_IDENTITY = ''


def expect_answer(exchange: Exchange, identity: str, upstream: str) -> None:
    """Expect the answer to a request, and skip and log others.

    :param exchange: the exchange that the request is sent on.
    :param identity: id of the request.
    :param upstream: name or address of the upstream.
    """
    exchange.expect(identity, partial(_check_answer, identity, upstream))


def expect_report(exchange: Exchange, upstream: str) -> None:
    """Expect a report of an upstream, and skip and log answers to requests.

    :param exchange: the exchange with the upstream.
    :param upstream: its address.
    """
    expect_answer(exchange, NO_IDENTITY, upstream)


def _check_answer(identity: str, upstream: str, answer: ResponseHead) -> bool:
    is_own = ingress.bears_identity(answer, identity)
    if not is_own:
        log_event(
            Event.foreign_answer,
            request=identity,
            answered=ingress.get_identity(answer),
            upstream=upstream,
            status=answer.status,
            claims_not_run=ingress.has_not_run(answer),
        )
    return is_own
