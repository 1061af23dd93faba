"""Jobs that were accepted while the store was away, kept on disks.

Each process with a disk keeps what it is given and hands it to the store as
soon as the store takes it.  All of them may do so: a job is created if
absent, so that one of them succeeds and the others find it standing.
"""

from __future__ import annotations

import time
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import gevent
import msgspec
from gevent.event import Event as Signal
from result import Err, Ok

from wigeonpier.disk.storage import call_in_thread, write_whole
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.loops import spawn_loop
from wigeonpier.models import HeldJob
from wigeonpier.platform.port import Failure
from wigeonpier.policy.placement import deal_items
from wigeonpier.telemetry.events import Event
from wigeonpier.telemetry.logs import log_event
from wigeonpier.web.messages import Request, Response
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    import random

    from wigeonpier.hosted.ledger import JobLedger

INTAKE_PATH = '/intake/'
FOLDER = 'intake'
MOST_BYTES = 8_000_000
# Several disks hold the same job; they hand it over at different times.
SPREAD_SECONDS = 0.25
PAUSE_SECONDS = 0.3


class Intake:
    """Keeps jobs on this disk until the store has them."""

    def __init__(
        self,
        folder: str,
        ledger: JobLedger,
        draw: random.Random,
    ) -> None:
        """Open the folder; what lies there is handed over once started."""
        self.is_closed = False
        self._root = Path(folder) / FOLDER
        self._root.mkdir(parents=True, exist_ok=True)
        self._ledger = ledger
        self._draw = draw
        self._held = {path.name for path in self._root.iterdir()}
        self._wanted = Signal()
        self._wanted.set()

    @property
    def is_empty(self) -> bool:
        """Tell whether the store has everything."""
        return not self._held

    def start(self) -> None:
        """Begin to hand jobs over."""
        spawn_loop('intake', self._step)

    def make_routes(self) -> list[Route]:
        """List the paths for entries.

        :returns: the routes.
        """
        return [make_route('PUT', f'{INTAKE_PATH}([^/]+)', self._keep)]

    def _keep(self, request: Request, name: str) -> Response:
        if self.is_closed:
            raise Refusal(ErrorKind.leaving, 'this disk is being emptied')
        request.body_limit = MOST_BYTES
        raw = request.read_body()
        try:
            call_in_thread(write_whole, self._root / name, raw)
        except OSError as error:
            self._refuse(name, error)
        self._held.add(name)
        self._wanted.set()
        log_event(Event.job_held, job=name, size=len(raw))
        return Response(HTTPStatus.OK, b'{}')

    def _refuse(self, name: str, error: OSError) -> NoReturn:
        """Say that a full or faulty disk does not have a job.

        Where that is not certain the error itself goes up, which promises
        nothing: an earlier copy may lie there, or this one without its name
        being forced.
        """
        log_event(Event.job_unheld, job=name, why=str(error))
        if name in self._held or (self._root / name).exists():
            raise error
        raise Refusal(ErrorKind.storage_down, str(error)) from error

    def _step(self) -> None:
        self._wanted.wait()
        gevent.sleep(self._draw.uniform(0, SPREAD_SECONDS))
        for name in sorted(self._held):
            if not self._hand_over(name):
                gevent.sleep(PAUSE_SECONDS)
                return
        if not self._held:
            self._wanted.clear()

    def _hand_over(self, name: str) -> bool:
        path = self._root / name
        try:
            held = msgspec.json.decode(path.read_bytes(), type=HeldJob)
        except (OSError, msgspec.DecodeError) as error:
            # A write that was torn by a power loss was never confirmed.
            log_event(Event.job_unreadable, job=name, why=str(error))
            self._forget(path)
            return True
        read = self._ledger.read_board()
        if isinstance(read, Err):
            return False
        board = read.ok_value
        owners = deal_items(
            name,
            len(held.items),
            board.list_members(held.job.service),
            list(board.jobs.values()),
            time.time(),
        )
        created = self._ledger.create(
            replace(held.job, owners=owners),
            list(held.items),
        )
        stands = isinstance(created, Ok) or created == Err(Failure.conflict)
        if stands:
            log_event(
                Event.job_handed_over,
                job=name,
                first=isinstance(created, Ok),
            )
            self._forget(path)
        return stands

    def _forget(self, path: Path) -> None:
        path.unlink(missing_ok=True)
        self._held.discard(path.name)
