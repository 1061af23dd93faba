"""Faults at the interfaces of a process: cut off, frozen, crashed."""

from __future__ import annotations

from errno import ECONNRESET
from typing import TYPE_CHECKING, Any

from gevent.event import Event as Signal
from result import Err, Result

from wigeonpier.web.client import CallFailure, HttpCaller, StreamReply

if TYPE_CHECKING:
    from wigeonpier.web.messages import Request, Response
    from wigeonpier.web.server import Handler


class ProcessFaults:
    """What a process suffers now; shared by all that it sends or takes."""

    def __init__(self) -> None:
        """Begin well."""
        self.is_dead = False
        self.cut_from: set[str] = set()
        self._running = Signal()
        self._running.set()

    def freeze(self) -> None:
        """Pause the process: nothing goes out or comes in."""
        self._running.clear()

    def thaw(self) -> None:
        """Let a paused process go on, as if no time had passed."""
        self._running.set()

    def make_caller(self, headers: dict[str, str]) -> HttpCaller:
        """Make the process's connections.

        :param headers: sent with each call.
        :returns: a caller that suffers the faults.
        """
        return _FaultyCaller(self, headers)

    def wrap(self, handler: Handler) -> Handler:
        """Make incoming requests suffer the faults.

        :param handler: the process's own.
        :returns: the handler to serve.
        """

        def serve(request: Request) -> Response:
            self.wait()
            if self.is_dead:
                raise ConnectionResetError(ECONNRESET, 'the process is gone')
            return handler(request)

        return serve

    def wait(self) -> None:
        """Wait while the process is frozen."""
        self._running.wait()

    def is_unreachable(self, address: str) -> bool:
        """Tell whether an address cannot be reached.

        :param address: ``host:port``.
        :returns: whether calls to it are lost.
        """
        return self.is_dead or address in self.cut_from


class _FaultyCaller(HttpCaller):
    """Connections that are lost or wait while the process suffers."""

    def __init__(self, faults: ProcessFaults, headers: dict[str, str]) -> None:
        super().__init__(headers)
        self._faults = faults

    def open(
        self,
        address: str,
        *details: Any,
        **options: Any,
    ) -> Result[StreamReply, CallFailure]:
        self._faults.wait()
        if self._faults.is_unreachable(address):
            return Err(CallFailure.not_sent)
        opened = super().open(address, *details, **options)
        self._faults.wait()
        if self._faults.is_unreachable(address):
            return Err(CallFailure.lost)
        return opened
