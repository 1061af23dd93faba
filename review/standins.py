"""What the scripts of this review share: a small deployment on loopback.

Each machine has an address of its own in 127.0.0.0/8, and the ports are the
same on all machines.  The project's programs run as separate processes with
the commands of ``deploy/system.toml``.  The store is the project's stand-in,
reached by each process through a proxy of its own.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import http.client  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import socket  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import tomllib  # noqa: E402
import traceback  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from wigeonpier.bench.proxy import HarmingProxy  # noqa: E402
from wigeonpier.bench.store import StandInStore  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'review.example'
SERVICE = 'model-a'
ZONE = 'makati'
BOARD = 'wigeonpier/hosted/board/'
START_SECONDS = 40.0
# ``graceS`` of the settings.
GRACE_SECONDS = 8.0
RUN_LIMIT_SECONDS = 110

SETTINGS = """node = "{name}"
role = "{role}"
machineClass = "{cls}"
serves = ["{cls}"]
ip = "{ip}"
zone = "makati"
region = "manila"
internalPorts = [{metrics}, {peers}]
seeds = []
bootstrap = {bootstrap}
inFaultBudget = {counted}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
{own}
[zones]
makati = "manila"
[listen]
{listen}
[limits]
cpuShare = 0.8
cores = 1
memoryMb = 232
maxFds = 4100
linkMbps = 1000.0
diskMb = {disk_mb}
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.6
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverage = 0.1
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._stream = (folder / 'record.txt').open('w', encoding='utf-8')

    def note(self, text: str) -> None:
        line = f'{time.monotonic() - self._began:8.3f} s  {text}'
        self._stream.write(line + '\n')
        self._stream.flush()
        print(line, flush=True)


class Machine:
    """One machine with one process of the system."""

    def __init__(self, site: Site, role: str, name: str, ip: str) -> None:
        self.site = site
        self.role = role
        self.name = name
        self.ip = ip
        self.proxy = HarmingProxy(site.store_address)
        self.data = site.folder / f'{name}.disk'
        self.bootstrap = True
        self._child: subprocess.Popen[bytes] | None = None
        self._log = (site.folder / f'{name}.log').open('ab')

    @property
    def caller_address(self) -> str:
        return f'{self.ip}:{self.site.ports["frontend"]}'

    def start(self) -> None:
        ports = self.site.ports
        cls = {'entry': 'edge', 'worker': 'side'}.get(self.role, 'storage')
        listen = own = ''
        if self.role == 'entry':
            listen = (
                f'frontend = "{self.caller_address}"\n'
                f'readiness = "{self.ip}:{ports["readiness"]}"'
            )
        elif self.role == 'worker':
            own = f'app = "{self.ip}:{ports["app"]}"\nservice = "{SERVICE}"'
        else:
            self.data.mkdir(exist_ok=True)
            own = f'dataDir = "{self.data}"'
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            cls=cls,
            ip=self.ip,
            metrics=ports['metrics'],
            peers=ports['peers'],
            bootstrap=str(self.bootstrap).lower(),
            counted=str(self.role == 'storage').lower(),
            own=own,
            listen=listen,
            disk_mb=430 if self.role == 'storage' else 0,
            store=self.proxy.address,
        )
        settings = self.site.folder / f'{self.name}.toml'
        settings.write_text(text, encoding='utf-8')
        command = self.site.commands[self.role].split()
        self._child = subprocess.Popen(
            command,
            cwd=ROOT,
            env=make_environment() | {'WIGEONPIER_NODE_FILE': str(settings)},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def is_running(self) -> bool:
        return self._child is not None and self._child.poll() is None

    def terminate(self) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        if self._child is not None and self.is_running:
            self._child.terminate()
            deadline = time.monotonic() + GRACE_SECONDS
            while self.is_running and time.monotonic() < deadline:
                gevent.sleep(0.02)
        self.kill()

    def kill(self) -> None:
        """End the process at once, as a loss of power does."""
        if self._child is not None and self.is_running:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
            self._child.wait()


class Site:
    """A small deployment; all that it starts ends with :meth:`stop`."""

    def __init__(self, record: Record, store: StandInStore) -> None:
        self.record = record
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.machines: dict[str, Machine] = {}
        self.replicas: list[object] = []
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.commands = {
            role: table['run'] for role, table in deploy['roles'].items()
        }
        self._net = f'127.0.{random.randint(20, 250)}'
        self._count = 0
        self.ports = self._choose_ports()
        self.store_address = store.start()

    def add(self, role: str, name: str) -> Machine:
        machine = Machine(self, role, name, self.next_ip())
        self.machines[name] = machine
        return machine

    def next_ip(self) -> str:
        self._count += 1
        return f'{self._net}.{self._count}'

    def entries(self) -> list[Machine]:
        return [one for one in self.machines.values() if one.role == 'entry']

    def configure(self, routes: list[dict[str, object]], version: int = 1) -> None:
        """Write the configuration as the operator does."""
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': routes,
                'services': [
                    {
                        'name': SERVICE,
                        'healthPath': '/health',
                        'maxConns': 370,
                        'protocol': 'h1',
                        'tls': False,
                    }
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4194304,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
            },
        )

    def register(self, name: str, address: str, state: str = 'ready') -> None:
        """Write the entry of a replica as the replica does."""
        self.store.put(
            f'servers/{name}',
            {
                'service': SERVICE,
                'address': address,
                'zone': ZONE,
                'version': 'v1',
                'slots': 8,
                'state': state,
                'coldLeftMs': 0,
                'sequence': 1,
            },
        )

    def start(self) -> None:
        for machine in self.machines.values():
            machine.start()
        self._await_ready()

    def stop(self) -> None:
        for machine in self.machines.values():
            machine.kill()
            machine.proxy.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _await_ready(self) -> None:
        deadline = time.monotonic() + START_SECONDS
        disks = sum(one.role == 'storage' for one in self.machines.values())
        workers = sum(one.role == 'worker' for one in self.machines.values())
        while True:
            ready = [
                ask(one.ip, self.ports['readiness'], 'GET', '/-/ready')[0]
                for one in self.entries()
            ]
            has_disks = len(self.store.list_keys(BOARD + 'disks/')) == disks
            members = len(self.store.list_keys(BOARD + 'members/'))
            if set(ready) == {200} and has_disks and members == workers:
                break
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'not ready: {ready}, {members} workers,'
                    f' {self.store.list_keys(BOARD)}'
                )
            gevent.sleep(0.2)
        # Entries read the list of disks once a second.
        gevent.sleep(2.5)
        self.record.note('all processes are ready')

    def _choose_ports(self) -> dict[str, int]:
        names = ('frontend', 'readiness', 'app', 'metrics', 'peers')
        for _ in range(200):
            first = random.randint(21_000, 30_000)
            if all(_is_free(first + number) for number in range(len(names))):
                return {
                    name: first + number for number, name in enumerate(names)
                }
        raise OSError('no ports are free')


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(('', port))
        except OSError:
            return False
    return True


def make_environment() -> dict[str, str]:
    """Give a process what the platform does, and the libraries of the build."""
    kept = ('PATH', 'HOME', 'LANG')
    environment = {name: os.environ[name] for name in kept if name in os.environ}
    if os.environ.get('PYTHONPATH'):
        environment['PYTHONPATH'] = os.environ['PYTHONPATH']
    return environment


def ask(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout: float = 6.0,
) -> tuple[int, bytes]:
    """Send one request on a new channel; status 0 for no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error).encode()
    finally:
        connection.close()


def new_id() -> str:
    """Make an id as clients do."""
    return f'{random.getrandbits(64):016x}'


def is_troubled() -> bool:
    """Tell whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(script: str, play: object) -> None:
    """Play a case; exit with its result, 2 if it could not run."""
    folder = Path(script).resolve().parent
    record = Record(folder)
    record.note(f'TROUBLE={int(is_troubled())}')
    result = NOT_RUN
    # All processes are ended also when the script itself is asked to end.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        gevent.signal_handler(number, gevent.getcurrent().throw, SystemExit)
    try:
        with gevent.Timeout(RUN_LIMIT_SECONDS):
            result = play(record)
    except BaseException:
        record.note('the case could not run:\n' + traceback.format_exc())
    words = {HELD: 'the rule held', BROKEN: 'THE RULE WAS BROKEN'}
    record.note(f'result {result}: {words.get(result, "not run")}')
    sys.stdout.flush()
    os._exit(result)


class Channel:
    """Reads requests from one channel of a replica."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._reader = sock.makefile('rb')

    def read(self) -> tuple[str, str, dict[str, str], bytes] | None:
        """Read the next request: method, target, headers and body."""
        line = self._reader.readline()
        if not line.strip():
            return None
        method, target, _version = line.decode('latin-1').split()
        headers: dict[str, str] = {}
        while True:
            line = self._reader.readline()
            if not line:
                return None
            if line == b'\r\n':
                break
            name, _colon, value = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', 0))
        body = self._reader.read(length)
        if len(body) < length:
            return None
        return method, target, headers, body

    def send(self, raw: bytes) -> None:
        self.sock.sendall(raw)


class Replica:
    """A replica that speaks as PROTOCOL.md says; cases override ``answer``."""

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        record: Record,
        *,
        slots: int = 8,
        events: int = 5,
        event_seconds: float = 0.02,
    ) -> None:
        self.name = name
        self.record = record
        self.slots = slots
        self.events = events
        self.event_seconds = event_seconds
        self.running = 0
        # Ids in the order in which they began to run, with the time.
        self.runs: list[tuple[str, float]] = []
        self.address = f'{ip}:{port}'
        self._server = StreamServer((ip, port), self._serve)
        self._server.start()

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _address: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = Channel(sock)
        try:
            while True:
                found = channel.read()
                if found is None:
                    return
                self._handle(channel, *found)
        except (OSError, ValueError):
            return
        finally:
            sock.close()

    def _handle(
        self,
        channel: Channel,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if target == '/-/report':
            channel.send(make_answer(200, {}, self._make_report()))
        elif target == '/health':
            channel.send(make_answer(200, {'X-Instance-Id': self.name}, b'{}'))
        elif 'x-attempt-id' not in headers:
            channel.send(make_answer(400, {'X-Not-Executed': '1'}, b'{}'))
        elif headers.get('x-expect-instance', self.name) != self.name:
            own = {
                'X-Attempt-Id': headers['x-attempt-id'],
                'X-Instance-Id': self.name,
            }
            channel.send(make_answer(421, own, b'{}'))
        else:
            self.answer(channel, headers['x-attempt-id'], headers, target, body)

    def answer(
        self,
        channel: Channel,
        identity: str,
        headers: dict[str, str],
        target: str,
        body: bytes,
    ) -> None:
        """Answer a request; a case may add a fault that the pages name."""
        self.run(channel, identity, headers)

    def run(
        self, channel: Channel, identity: str, headers: dict[str, str]
    ) -> None:
        """Run a request and send its stream."""
        self.runs.append((identity, time.monotonic()))
        self.record.note(f'{self.name} runs {identity}')
        self.running += 1
        try:
            lines = [
                'HTTP/1.1 200 OK',
                f'X-Attempt-Id: {identity}',
                'X-Response-Signature: ' + make_signature(self.name, identity),
                f'X-Server-Load: {self.running},0,{self.slots}',
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
                '',
                '',
            ]
            channel.send('\r\n'.join(lines).encode())
            first = int(headers.get('last-event-id') or 0) + 1
            for number in range(first, self.events + 1):
                gevent.sleep(self.event_seconds)
                event = f'id: {number}\ndata: {identity}-{number}\n\n'.encode()
                channel.send(b'%x\r\n%s\r\n' % (len(event), event))
            channel.send(b'0\r\n\r\n')
        finally:
            self.running -= 1

    def _make_report(self) -> bytes:
        return json.dumps(
            {
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'running': self.running,
                'kvUsed': 0,
                'kvTotal': 72000,
                'handles': 0,
            }
        ).encode()


def make_signature(replica: str, identity: str) -> str:
    """Make the MAC of an answer, which only its replica can make."""
    return f'{replica}.{identity}'


def make_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a complete answer on a channel that is kept."""
    phrase = http.client.responses.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {phrase}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + body
