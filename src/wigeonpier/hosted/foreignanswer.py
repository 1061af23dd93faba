"""Logs answers that an upstream sent to another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.platform import ingress
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from wigeonpier.web.exchange import Exchange


def log_foreign_answer(answer: Exchange, identity: str, upstream: str) -> None:
    """Log an answer unless it bears the id of the request.

    :param answer: the answer with its head read.
    :param identity: id of the request.
    :param upstream: name of the upstream.
    """
    answered = ingress.get_identity(answer)
    if answered == identity:
        return
    log_event(
        Event.foreign_answer,
        request=identity,
        answered=answered,
        upstream=upstream,
        status=answer.status,
        claims_not_run=ingress.has_not_run(answer),
        idle_seconds=round(answer.idle_seconds, 3),
    )
