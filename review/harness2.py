"""Processes, stand-ins and callers of the scripts of the second review.

The daemons are started as the deploy file does, on loopback addresses.  The
store and the replicas are the project's own stand-ins; the store also refuses
what PROTOCOL.md says that it does not take.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import atexit
import base64
import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
import uuid
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import ClassVar

import gevent
from gevent.pool import Pool

from wigeonpier.bench import store as store_module
from wigeonpier.bench.processes import take_port
from wigeonpier.bench.proxy import HarmingProxy
from wigeonpier.bench.replica import StandInReplica
from wigeonpier.bench.store import StandInStore
from wigeonpier.platform.operator import (
    CONFIGURATION_KEY,
    encode_configuration,
)
from wigeonpier.served import RouteKind, ServedConfiguration, ServedRoute
from wigeonpier.web.messages import answer_json

ROOT = Path(__file__).resolve().parent.parent
HOST = 'batch.example'
SERVICE = 'tala'
# "`limits` (... `maxBodyBytes` ...) bound what a client may send": the value
# in the site file of dagat-tunog.
BODY_BYTES = 4_194_304
# "`valueBytes`" of the settings, and "at most 32 entries" of a transaction.
VALUE_BYTES = 1_048_576
MOST_ENTRIES = 32
# "1,300,000 tokens may wait", of which an item of 350 tokens in and 195 out has
# 545; the pages tie no number of bytes to it.
MOST_TOKENS = 1_300_000
ITEM_TOKENS = (350, 195)
DISKS = 3
HELD = 0
BROKEN = 1
NOT_RUN = 2
MOST_SECONDS = 115

SETTINGS = """node = "{name}"
role = "{role}"
machineClass = "{kind}"
ip = "{ip}"
zone = "makati"
region = "manila"
internalPorts = [{metrics}, {peers}]
seeds = []
bootstrap = true
inFaultBudget = {counted}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
dataDir = "{disk}"
app = "{upstream}"
service = "{service}"
[zones]
makati = "manila"
[listen]
frontend = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 170
maxFds = 4100
linkMbps = 1000.0
diskMb = 430
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


def _fail(*details) -> None:  # noqa: ANN002
    """End with the status of a case that could not run."""
    traceback.print_exception(*details)
    atexit._run_exitfuncs()  # noqa: SLF001
    os._exit(NOT_RUN)


sys.excepthook = _fail


class StrictStore(StandInStore):
    """The stand-in of the store, with the limits of PROTOCOL.md."""

    # Added to the time of each answer while the store is slow.
    slow_seconds: float = 0

    def _guard(self, handle):  # noqa: ANN001, ANN202
        guarded = super()._guard(handle)

        def answer(request):  # noqa: ANN001, ANN202
            if self.slow_seconds:
                gevent.sleep(self.slow_seconds / 2)
            response = guarded(request)
            if self.slow_seconds:
                gevent.sleep(self.slow_seconds / 2)
            return response

        return answer

    def _perform(self, body):  # noqa: ANN001, ANN202
        entries = len(body.guards) + len(body.writes) + len(body.deletes)
        sizes = [len(base64.b64decode(write.value)) for write in body.writes]
        if entries > MOST_ENTRIES or max(sizes, default=0) > VALUE_BYTES:
            return answer_json({}, HTTPStatus.BAD_REQUEST)
        return super()._perform(body)


@dataclass
class Daemon:
    """One daemon, started by the command of the deploy file."""

    role: str
    name: str
    settings: Path
    log: Path
    callers: str
    readiness: str
    disk: Path
    store: HarmingProxy | None = None
    child: subprocess.Popen | None = None
    # A case may be about to start a process when it is interrupted.
    is_over: ClassVar[bool] = False

    def start(self) -> None:
        if self.is_over:
            return
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'WIGEONPIER_NODE_FILE': str(self.settings),
        }
        with self.log.open('ab') as log:
            self.child = subprocess.Popen(
                ('python3', '-m', 'wigeonpier.hosted.main', self.role),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    def send(self, number: int) -> None:
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, number)

    def wait(self) -> None:
        if self.child is not None:
            self.child.wait()

    def kill(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.wait()


@dataclass
class Job:
    """A job as its caller knows it."""

    name: str
    body: bytes
    items: list[str]
    accepted_at: float = 0
    answers: list[str] = field(default_factory=list)


class Site:
    """All processes of one run."""

    def __init__(
        self,
        folder: Path,
        entries: int = 2,
        replicas: int = 3,
        event_seconds: float = 0.01,
    ) -> None:
        store_module.MAX_BODY_BYTES = 64_000_000
        self.record_file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = StrictStore()
        self.address = self.store.start()
        self.peers = take_port()
        self.replicas: list[StandInReplica] = []
        self.daemons: list[Daemon] = []
        self._event_seconds = event_seconds
        atexit.register(self.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            gevent.signal_handler(number, self._give_up)
        gevent.spawn_later(MOST_SECONDS, self._give_up)
        self.configure()
        for number in range(entries):
            self._add('entry', f'edge-{number}')
        for number in range(DISKS):
            self._add('storage', f'storage-{number}')
        for _ in range(replicas):
            self.add_replica()

    @property
    def entries(self) -> list[Daemon]:
        return [one for one in self.daemons if one.role == 'entry']

    @property
    def disks(self) -> list[Daemon]:
        return [one for one in self.daemons if one.role == 'storage']

    def configure(self) -> None:
        route = ServedRoute(
            name='ep-credits',
            host=HOST,
            prefix='/jobs/',
            kind=RouteKind.batch,
            services=((SERVICE, 1.0),),
            timeout=15,
            objective=0.4,
            tries=3,
            is_resumable=True,
            priority=2,
            run_objective=18,
            retention=60,
            most_tokens=MOST_TOKENS,
        )
        configuration = ServedConfiguration(1, (route,), BODY_BYTES, None)
        self.store.put(CONFIGURATION_KEY, encode_configuration(configuration))

    def add_replica(self, service: str = SERVICE) -> Daemon:
        number = len(self.replicas)
        ip = f'127.0.0.{2 + number}'
        replica = StandInReplica(
            f'i-{number}',
            service,
            self.store,
            events=10,
            event_seconds=self._event_seconds,
        )
        replica.start('makati', ip)
        self.replicas.append(replica)
        return self._add(
            'worker', f'side-{number}', replica.address, ip, service=service
        )

    def _add(
        self,
        role: str,
        name: str,
        upstream: str = '',
        ip: str = '127.0.0.1',
        service: str = '',
        store: HarmingProxy | None = None,
    ) -> Daemon:
        ports = {one: take_port() for one in ('metrics', 'callers', 'readiness')}
        # The daemons with a disk share their address with the entries here.
        peers = take_port() if role == 'storage' else self.peers
        disk = self.folder / f'{name}.disk'
        if role == 'storage':
            store = HarmingProxy(self.address)
        settings = self.folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                kind={'entry': 'edge', 'worker': 'side'}.get(role, role),
                ip=ip,
                peers=peers,
                counted='true' if role == 'storage' else 'false',
                disk=disk if role == 'storage' else '',
                upstream=upstream,
                service=service,
                store=store.address if store else self.address,
                **ports,
            ),
            encoding='utf-8',
        )
        daemon = Daemon(
            role,
            name,
            settings,
            self.folder / f'{name}.log',
            f'{ip}:{ports["callers"]}',
            f'{ip}:{ports["readiness"]}',
            disk,
            store,
        )
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    def write(self, text: str) -> None:
        self.record_file.write(f'{time.monotonic() - self.began:8.3f}  {text}\n')
        self.record_file.flush()

    def add_disk(self) -> Daemon:
        """Add a machine with an empty disk to the system."""
        return self._add('storage', f'storage-{len(self.disks)}')

    def await_ready(self, seconds: float = 25) -> None:
        """Wait until all entries are ready and all members have joined."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            ready = [
                call(one.readiness, 'GET', '/-/ready')[0] == HTTPStatus.OK
                for one in self.entries
            ]
            if all(ready) and self.has_joined():
                self.write('all processes are ready')
                return
            gevent.sleep(0.3)
        self.write('the processes did not become ready')
        self.stop()
        os._exit(NOT_RUN)

    def has_joined(self) -> bool:
        board = 'wigeonpier/hosted/board/'
        members = self.store.list_keys(f'{board}members/')
        disks = self.store.list_keys(f'{board}disks/')
        return len(members) == len(self.replicas) and len(disks) == DISKS

    def _give_up(self) -> None:
        self.write('the script took too long or was stopped')
        self.stop()
        os._exit(NOT_RUN)

    def stop(self) -> None:
        """End all processes that this run started."""
        Daemon.is_over = True
        for _ in range(2):
            for daemon in self.daemons:
                daemon.kill()
            # One whose start had begun is known by then.
            gevent.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)

    def submit(self, job: Job, first: int = 0, tries: int = 3) -> bool:
        """Send a job until it is accepted, each time to another entry."""
        for number in range(tries):
            entry = self.entries[(first + number) % len(self.entries)]
            status, answer = call(
                entry.callers,
                'POST',
                '/jobs/submit',
                job.body,
                {
                    'X-Attempt-Id': job.name,
                    'Content-Type': 'application/json',
                    'X-Deadline-Ms': '4000',
                },
                timeout=4.0,
            )
            job.answers.append(f'{entry.name} {status or answer!r}')
            if status == HTTPStatus.ACCEPTED:
                job.accepted_at = time.monotonic()
                self.write(f'job {job.name}: {", ".join(job.answers)}')
                return True
            gevent.sleep(0.3)
        self.write(f'job {job.name} not accepted: {", ".join(job.answers)}')
        return False

    def read_all(self, job: Job, entry: Daemon) -> tuple[str, list[str]]:
        """Read a job from the start; return a problem and the listed items."""
        listed: list[str] = []
        while True:
            status, answer = call(
                entry.callers, 'GET', f'/-/lots/{job.name}?after={len(listed)}'
            )
            if status != HTTPStatus.OK:
                return f'{status or answer!r}', listed
            page = json.loads(answer)
            if not page['results']:
                return '', listed
            listed += [found['id'] for found in page['results']]

    def judge(self, jobs: list[Job], seconds: float = 10) -> int:
        """Count accepted jobs that cannot be read or have unlisted items."""
        deadline = time.monotonic() + seconds
        pool = Pool(8)
        verdicts = pool.map(lambda job: self._is_kept(job, deadline), jobs)
        return verdicts.count(False)

    def _is_kept(self, job: Job, deadline: float) -> bool:
        """Read a job at each entry, again after failures for some seconds."""
        if time.monotonic() > deadline:
            self.write(f'job {job.name} not examined')
            return True
        outcome = ''
        until = min(time.monotonic() + 2, deadline)
        for entry in self.entries:
            is_kept = False
            while not is_kept:
                problem, listed = self.read_all(job, entry)
                missing = set(job.items) - set(listed)
                is_kept = not problem and not missing
                if is_kept or time.monotonic() > until:
                    break
                gevent.sleep(0.25)
            outcome += (
                f' {entry.name}: {problem or "200"},'
                f' {len(missing)} of {len(job.items)} not listed;'
            )
            if not is_kept:
                break
        ran = sum(
            any(item in replica.runs for replica in self.replicas)
            for item in job.items
        )
        self.write(
            f'job {job.name} {"kept" if is_kept else "LOST"}:{outcome}'
            f' {ran} items ran'
        )
        return is_kept


def make_job(items: int, item_bytes: int, name: str = '') -> Job:
    """Make a job of items of equal size."""
    names = [uuid.uuid4().hex[:16] for _ in range(items)]
    tokens_in, tokens_out = ITEM_TOKENS
    content = base64.b64encode(os.urandom(item_bytes)).decode()
    body = {
        'items': [
            {
                'id': one,
                'path': '/jobs/run',
                'headers': {
                    'X-Model': 'm',
                    'X-Token-Counts': f'{tokens_in},{tokens_out}',
                },
                'body': content,
                'tokens': tokens_in + tokens_out,
            }
            for one in names
        ]
    }
    return Job(name or uuid.uuid4().hex[:16], json.dumps(body).encode(), names)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, bytes | str]:
    """Send one request on a new connection; 0 and the reason if it fails."""
    host, _colon, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(
            method, path, body, {'Host': HOST, **(headers or {})}
        )
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error)
    finally:
        connection.close()


def is_troubled() -> bool:
    """Tell whether the disruption is to be injected."""
    return os.environ.get('TROUBLE', '1') != '0'


def finish(
    site: Site, lost: int, what: str = 'accepted jobs lost'
) -> None:
    """Write the verdict and exit."""
    verdict = 'the rule was broken' if lost else 'the rule held'
    site.write(f'{verdict}: {lost} {what}')
    site.stop()
    os._exit(BROKEN if lost else HELD)
