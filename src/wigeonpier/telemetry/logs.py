"""Structured logs: numbered events, one JSON object per line."""

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
    """Configure logging of events as JSON lines to a stream.

    :param process: process name, added to each line.
    :param level: minimum level, as in ``logging``.
    :param stream: output stream.
    """
    structlog.configure(
        processors=[
            _make_process_adder(process),
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
    """Log one numbered event.

    :param event: entry of the catalogue.
    :param fields: log fields, JSON values.
    """
    write = getattr(_LOGGER, event.level)
    write(event.name, number=event.number, **fields)


def _make_process_adder(process: str) -> Processor:
    # Context variables are not used: a greenlet does not inherit those of the
    # greenlet that bound them.
    def add_name(_logger: Any, _method: str, fields: EventDict) -> EventDict:
        fields['process'] = process
        return fields

    return add_name


def _render(fields: dict[str, Any], **_options: Any) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()
