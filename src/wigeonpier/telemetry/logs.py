"""Structured logs: one JSON object a line, numbered events only."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any, TextIO, cast

import msgspec
import structlog

if TYPE_CHECKING:
    from structlog.typing import EventDict, Processor

    from wigeonpier.telemetry.events import Event
    from wigeonpier.telemetry.sink import LineSink

_LOGGER = structlog.get_logger()


def configure_logs(
    process: str,
    level: str,
    stream: TextIO | LineSink = sys.stderr,
) -> None:
    """Send events as JSON lines to a stream.

    :param process: name that each line carries.
    :param level: lowest level that is written, as in ``logging``.
    :param stream: where the lines go.
    """
    structlog.configure(
        processors=[
            _make_namer(process),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.JSONRenderer(serializer=_render),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()],
        ),
        logger_factory=structlog.PrintLoggerFactory(cast('TextIO', stream)),
        cache_logger_on_first_use=False,
    )


def log_event(event: Event, **fields: Any) -> None:
    """Write one numbered event.

    :param event: entry of the catalogue.
    :param fields: what happened, JSON values.
    """
    write = getattr(_LOGGER, event.level)
    write(event.name, number=event.number, **fields)


def _make_namer(process: str) -> Processor:
    # Not by context variables: a greenlet has none of the one that bound them.
    def add_name(_logger: Any, _method: str, fields: EventDict) -> EventDict:
        fields['process'] = process
        return fields

    return add_name


def _render(fields: dict[str, Any], **_options: Any) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()
