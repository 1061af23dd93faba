"""Loops of controllers that outlive a failed step."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import gevent

from wigeonpier.invariants import BrokenPromiseError
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_SECONDS = 1.0


def spawn_loop(
    name: str, step: Callable[[], object]
) -> gevent.Greenlet[..., None]:
    """Run a step again and again; the step itself waits.

    A step that fails is logged and tried again after a pause, so that one
    odd message does not end a controller for good.

    :param name: the loop, for the log.
    :param step: one round.
    :returns: the greenlet.
    """
    return gevent.spawn(_run, name, step)


def _run(name: str, step: Callable[[], object]) -> None:
    while True:
        try:
            step()
        except BrokenPromiseError:
            raise
        except Exception:
            log_event(
                Event.loop_failed,
                loop=name,
                trace=traceback.format_exc(),
            )
            gevent.sleep(PAUSE_SECONDS)
