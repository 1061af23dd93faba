"""Background loops that continue after a failed step."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import gevent

from wigeonpier.invariants import InvariantError
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_SECONDS = 1.0


def spawn_loop(
    name: str, step: Callable[[], object]
) -> gevent.Greenlet[..., None]:
    """Run a step repeatedly; the step itself sleeps.

    A step that fails is logged and repeated after a pause, so that one
    invalid message does not stop a loop for good.

    :param name: name of the loop, for the log.
    :param step: runs one iteration.
    :returns: the greenlet.
    """
    return gevent.spawn(_run, name, step)


def _run(name: str, step: Callable[[], object]) -> None:
    while True:
        try:
            step()
        except InvariantError:
            raise
        except Exception:
            log_event(
                Event.loop_failed,
                loop=name,
                trace=traceback.format_exc(),
            )
            gevent.sleep(PAUSE_SECONDS)
