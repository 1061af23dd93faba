"""Faults at the interfaces of a process: isolated, frozen, crashed."""

from __future__ import annotations

from errno import ECONNRESET
from typing import TYPE_CHECKING, Any

from gevent.event import Event as Signal
from result import Err, Result

from wigeonpier.web.client import CallFailure, HttpClient, StreamReply

if TYPE_CHECKING:
    from wigeonpier.web.messages import Request, Response
    from wigeonpier.web.server import Handler


class ProcessFaults:
    """Active faults of a process, for its incoming and outgoing calls."""

    def __init__(self) -> None:
        """Start without faults."""
        self.is_dead = False
        self.cut_from: set[str] = set()
        self._running = Signal()
        self._running.set()

    def freeze(self) -> None:
        """Freeze the process: calls in both directions wait."""
        self._running.clear()

    def thaw(self) -> None:
        """Resume a frozen process."""
        self._running.set()

    def make_client(self, headers: dict[str, str]) -> HttpClient:
        """Make the client for the process's outgoing calls.

        :param headers: headers of each call.
        :returns: a client that is subject to the faults.
        """
        return _FaultyClient(self, headers)

    def wrap(self, handler: Handler) -> Handler:
        """Make incoming requests subject to the faults.

        :param handler: handler of the process.
        :returns: handler that applies the faults first.
        """

        def serve(request: Request) -> Response:
            self.wait()
            if self.is_dead:
                raise ConnectionResetError(
                    ECONNRESET, 'the process has crashed'
                )
            return handler(request)

        return serve

    def wait(self) -> None:
        """Wait while the process is frozen."""
        self._running.wait()

    def is_unreachable(self, address: str) -> bool:
        """Return whether an address cannot be reached.

        :param address: ``host:port``.
        :returns: whether calls to it fail.
        """
        return self.is_dead or address in self.cut_from


class _FaultyClient(HttpClient):
    """Client whose calls fail or wait while faults are active."""

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
