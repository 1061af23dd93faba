"""Runs hosted daemons as separate processes and sends signals to them."""

from __future__ import annotations

import errno
import fcntl
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import IO, TYPE_CHECKING

if TYPE_CHECKING:
    from wigeonpier.bench.proxy import HarmingProxy

SETTINGS_TEMPLATE = """node = "{name}"
zone = "a"
region = "r"
ip = "{ip}"
internalPorts = [{metrics}, {peers}]
dataDir = "{folder}"
app = "{upstream}"
service = "{service}"
[zones]
a = "r"
[listen]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[faultTolerance]
machines = 1
[bounds]
graceS = 6
catchUpS = 4.7
statusS = 120
strictRevocation = true
revokeMs = 3000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 10
[platform]
address = "{store}"
historyS = 20
"""
# Signals that a stopped process handles at once.
RESUMING = frozenset((signal.SIGCONT, signal.SIGKILL))
FIRST_PORT = 12_000
BLOCK_COUNT = 20
BLOCK_PORTS = 1000
PORT_NAMES = ('metrics', 'peers', 'callers', 'readiness')
# Offsets within the block of the ports probed so far.
_port_offsets = count()
# Lock on the block of this process, held until the process exits.
_locks: list[IO[bytes]] = []


@dataclass(slots=True)
class HostedProcess:
    """One daemon that can be stopped, paused, killed and restarted.

    :param role: role of the daemon.
    :param name: name of its VM.
    :param folder: folder for its settings, log and disk.
    :param store: proxy through which it reaches the store.
    :param upstream: address of its upstream, empty for none.
    :param service: service of the upstream.
    :param ip: address of its VM.
    :param peers: port for other processes of the system, 0 for a free one.
    :param callers: address that it serves callers on.
    """

    role: str
    name: str
    folder: Path
    store: HarmingProxy
    upstream: str = ''
    service: str = ''
    ip: str = '127.0.0.1'
    peers: int = 0
    callers: str = ''
    _child: subprocess.Popen[bytes] | None = None
    _ports: dict[str, int] = field(default_factory=dict)
    _pauses: list[tuple[float, float]] = field(default_factory=list)
    _paused_at: float = 0

    def prepare(self) -> None:
        """Write the settings file."""
        self._ports = {name: take_port() for name in PORT_NAMES}
        self._ports['peers'] = self.peers or self._ports['peers']
        self.callers = f'127.0.0.1:{self._ports["callers"]}'
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            folder=self.disk,
            upstream=self.upstream,
            service=self.service,
            store=self.store.address,
            **self._ports,
        )
        self._settings.write_text(text, encoding='utf-8')

    def start(self) -> None:
        """Start the process and append to its log."""
        with self.log.open('ab') as log:
            self._child = subprocess.Popen(
                (
                    sys.executable,
                    '-m',
                    'wigeonpier.hosted.main',
                    self.role,
                    '--settings',
                    str(self._settings),
                ),
                stdout=log,
                stderr=log,
            )

    def measure_memory(self) -> int:
        """Measure the memory of the process.

        :returns: bytes, 0 if it is not running.
        """
        if self._child is None or not self.is_running:
            return 0
        path = Path('/proc', str(self._child.pid), 'statm')
        statm = path.read_text(encoding='ascii')
        return int(statm.split()[1]) * resource.getpagesize()

    @property
    def disk(self) -> Path:
        """Return the folder of its disk."""
        return self.folder / f'{self.name}.disk'

    @property
    def log(self) -> Path:
        """Return the path of its log."""
        return self.folder / f'{self.name}.log'

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        :param number: the signal.
        """
        if self._child is not None and self.is_running:
            os.kill(self._child.pid, number)
            self._record_pause(number)

    def list_pauses(self) -> list[tuple[float, float]]:
        """List when the process was stopped by a signal.

        :returns: begin and end of each pause, monotonic seconds.
        """
        if self._paused_at:
            return [*self._pauses, (self._paused_at, time.monotonic())]
        return list(self._pauses)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self._child is not None:
            self.send(signal.SIGCONT)
            self._child.kill()
            self._child.wait()

    def _record_pause(self, number: signal.Signals) -> None:
        now = time.monotonic()
        if number is signal.SIGSTOP:
            self._paused_at = self._paused_at or now
        elif self._paused_at and number in RESUMING:
            self._pauses.append((self._paused_at, now))
            self._paused_at = 0

    @property
    def _settings(self) -> Path:
        return self.folder / f'{self.name}.toml'


def take_port() -> int:
    """Find a port that is free on every address of this machine.

    The port lies below the ephemeral range of the kernel, so that no outgoing
    connection can take it before it is used.  Concurrent runs use separate
    blocks of ports, and each port of a block is tried once per round.

    :returns: the port.
    :raises OSError: if no port of the block or no block is free.
    """
    first = FIRST_PORT + _claim_block() * BLOCK_PORTS
    for _ in range(BLOCK_PORTS):
        port = first + next(_port_offsets) % BLOCK_PORTS
        with socket.socket() as sock, suppress(OSError):
            sock.bind(('', port))
            return port
    raise OSError(errno.EADDRINUSE, 'no port is free')


def _claim_block() -> int:
    """Lock a block of ports that no other process of this machine uses."""
    if _locks:
        return int(Path(_locks[0].name).suffix[1:])
    for block in range(BLOCK_COUNT):
        path = Path(tempfile.gettempdir(), f'wigeonpier-ports.{block}')
        lock = path.open('wb')
        with suppress(BlockingIOError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _locks.append(lock)
            return block
        lock.close()
    raise OSError(errno.EADDRINUSE, 'no block of ports is free')
