"""Callers of the fault soak, which send load and check the answers."""

from __future__ import annotations

import base64
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from result import Err

from wigeonpier.bench.soakwaits import DEADLINE_SECONDS, SoakWaits
from wigeonpier.errors import ErrorKind
from wigeonpier.loops import spawn_loop
from wigeonpier.platform import wire
from wigeonpier.web.exchange import make_request
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from wigeonpier.bench.processes import HostedProcess
    from wigeonpier.bench.replica import StandInReplica
    from wigeonpier.web.client import Reply

HOST = 'soak.example'
SERVICE = 'assistant'
DATA_CENTRE = 'a'
DEADLINE_MS = str(int(DEADLINE_SECONDS * 1000))
# Longer than a caller may have to wait.
CALL_TIMEOUT_SECONDS = 6.0
REQUEST_GAP_SECONDS = (0.01, 0.12)
JOB_GAP_SECONDS = (0.3, 1.2)
READ_GAP_SECONDS = (0.1, 0.5)
ITEMS_PER_JOB = 5
OK = 200
LIMIT_REACHED = 429
ACCEPTED = 202
# Statuses which state that the request did not run and will not run.
NOT_RUN = frozenset((408, 421, 429, 503))
MAX_SUBMISSIONS = 2
SHARED_BODY_INTERVAL = 5
# Parts of prompts that sound requests share with crashing ones.
FIRST_PART = 'first'
OTHER_PARTS = ('second', 'third', 'fourth')
# Requests under this path run at most once.
RUN_ONCE_PREFIX = '/once/'
# Between the text of an event and the version that wrote it.
VERSION_MARK = b'@'


@dataclass(frozen=True, slots=True)
class SoakAnswer:
    """Answer to an online request.

    :param path: path of the request.
    :param status: status, 0 for no answer.
    :param body: body of the answer.
    """

    path: str
    status: int
    body: bytes


@dataclass(slots=True)
class SoakJob:
    """One job from the view of its caller.

    :param name: id of the job.
    :param statuses: status of each submission, 0 for no answer.
    :param results: results by position, as first read.
    """

    name: str
    statuses: list[int] = field(default_factory=list)
    results: list[dict[str, str]] = field(default_factory=list)

    @property
    def is_accepted(self) -> bool:
        """Return whether a submission was accepted."""
        return ACCEPTED in self.statuses


class SoakCallers:
    """Sends requests, submits jobs and reads results at random entries."""

    def __init__(
        self,
        entries: list[HostedProcess],
        rng: random.Random,
    ) -> None:
        """Create callers of the entries; they do nothing until `start`."""
        self.jobs: list[SoakJob] = []
        # Key of the customer, empty where keys are not required.
        self.key = ''
        self._entries = entries
        self._rng = rng
        self._pool = ConnectionPool()
        self._outcomes: dict[str, SoakAnswer] = {}
        self._violations: list[str] = []
        self._waits = SoakWaits()
        self._crashing_count = 0
        self._is_stopped = False
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def is_ready(self) -> bool:
        """Return whether each entry answers requests."""
        return all(
            self._send('/ask/ready', f'ready{number}', entry) == OK
            for number, entry in enumerate(self._entries)
        )

    def start(self) -> None:
        """Start sending load."""
        self._greenlets = [
            gevent.spawn(self._send_requests),
            gevent.spawn(self._submit_jobs),
            spawn_loop('readers', self._read_jobs),
        ]

    def finish(self, seconds: float) -> None:
        """Stop sending new load and read results until all jobs have ended.

        :param seconds: maximum wait.
        """
        self._is_stopped = True
        gevent.joinall(self._greenlets[:2])
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and self._list_unfinished():
            gevent.sleep(READ_GAP_SECONDS[1])
        gevent.killall(self._greenlets)

    def find_violations(self, replicas: list[StandInReplica]) -> list[str]:
        """Check the observations of callers and upstreams.

        :param replicas: upstreams, which count the runs of each request.
        :returns: description of each violated invariant.
        """
        runs: Counter[str] = Counter()
        for replica in replicas:
            runs.update(replica.runs)
        found = [
            check_answer(
                name,
                answer,
                replicas[0].make_output(name, find_version(answer.body)),
                runs[name],
            )
            for name, answer in self._outcomes.items()
        ]
        found += [check_job(job, replicas[0], runs) for job in self.jobs]
        found.append(self.find_late_answers())
        return self._violations + list(chain.from_iterable(found))

    def find_late_answers(self) -> list[str]:
        """Check how long callers waited for final answers.

        :returns: description of each wait that was too long.
        """
        return self._waits.violations

    def count_outcomes(self) -> dict[str, int]:
        """Count answers to online requests by status, 0 for no answer."""
        statuses = (answer.status for answer in self._outcomes.values())
        return {
            str(status): count for status, count in Counter(statuses).items()
        }

    def count_jobs(self) -> dict[str, int]:
        """Count accepted and other jobs."""
        accepted = len([job for job in self.jobs if job.is_accepted])
        return {'accepted': accepted, 'not': len(self.jobs) - accepted}

    def send_crashing(
        self, path: str, body: bytes, parts: Sequence[str] = ()
    ) -> int:
        """Send a request that crashes replicas to a random entry.

        :param path: path of the request.
        :param body: its body, which may trigger the crash.
        :param parts: ids of the shared parts of its prompt, likewise.
        :returns: the status, 0 for no answer.
        """
        self._crashing_count += 1
        entry = self._rng.choice(self._entries)
        name = f'deadly{self._crashing_count}'
        reply = self._call(entry, 'POST', path, name, body, prompt=parts)
        return reply.status if reply else 0

    def send_with_key(self, key: str, path: str, name: str) -> None:
        """Send a request with a key to a random entry and ignore the answer.

        :param key: key of a customer.
        :param path: path of the request.
        :param name: id of the request.
        """
        entry = self._rng.choice(self._entries)
        self._call(entry, 'POST', path, name, key=key)

    def _send_requests(self) -> None:
        sending: list[gevent.Greenlet[..., int]] = []
        while not self._is_stopped:
            number = len(sending)
            path = self._rng.choice(('/ask/q', '/once/q'))
            entry = self._rng.choice(self._entries)
            sending.append(
                gevent.spawn(self._send, path, f'q{number}', entry),
            )
            gevent.sleep(self._rng.uniform(*REQUEST_GAP_SECONDS))
        gevent.joinall(sending)

    def _send(self, path: str, name: str, entry: HostedProcess) -> int:
        # Most requests have a body of their own; the others share one body.
        is_shared = not len(self._outcomes) % SHARED_BODY_INTERVAL
        body = b'' if is_shared else name.encode()
        prompt = make_prompt(len(self._outcomes))
        reply = self._call(entry, 'POST', path, name, body, prompt=prompt)
        status = reply.status if reply else 0
        self._outcomes[name] = SoakAnswer(
            path,
            status,
            reply.body if reply else b'',
        )
        return status

    def _submit_jobs(self) -> None:
        while not self._is_stopped:
            job = SoakJob(f'j{len(self.jobs)}')
            self.jobs.append(job)
            while len(job.statuses) < MAX_SUBMISSIONS and not job.is_accepted:
                self._submit(job)
            gevent.sleep(self._rng.uniform(*JOB_GAP_SECONDS))

    def _submit(self, job: SoakJob) -> None:
        items = [
            {
                'id': f'{job.name}-{number}',
                'path': f'/jobs/{job.name}',
                'body': base64.b64encode(b'{}').decode(),
                'tokens': 10,
            }
            for number in range(ITEMS_PER_JOB)
        ]
        body = msgspec.json.encode({'items': items})
        entry = self._rng.choice(self._entries)
        reply = self._call(entry, 'POST', '/jobs/x', job.name, body)
        job.statuses.append(reply.status if reply else 0)

    def _read_jobs(self) -> None:
        for job in self._list_unfinished():
            self._read(job)
        gevent.sleep(self._rng.uniform(*READ_GAP_SECONDS))

    def _read(self, job: SoakJob) -> None:
        entry = self._rng.choice(self._entries)
        target = f'{wire.JOB_PATH}{job.name}?after=0'
        reply = self._call(entry, 'GET', target, '')
        if reply is None or reply.status != OK:
            return
        results = msgspec.json.decode(reply.body)['results']
        common = min(len(results), len(job.results))
        if results[:common] != job.results[:common]:
            self._violations.append(
                f'{job.name}: the result at a position has changed'
            )
        if len(results) > len(job.results):
            job.results = results

    def _list_unfinished(self) -> list[SoakJob]:
        return [
            job
            for job in self.jobs
            if job.is_accepted and len(job.results) < ITEMS_PER_JOB
        ]

    def _call(
        self,
        entry: HostedProcess,
        method: str,
        target: str,
        name: str,
        body: bytes = b'',
        **options: Any,
    ) -> Reply | None:
        headers: list[tuple[str, str]] = [('Host', HOST)]
        key = options.get('key') or self.key
        if key:
            headers.append((wire.KEY_HEADER, key))
        if name:
            headers += [
                (wire.REQUEST_ID, name),
                (wire.DEADLINE_MS, DEADLINE_MS),
            ]
        prompt = options.get('prompt')
        if prompt:
            listed = ','.join(f'{part}:1' for part in (*prompt, name))
            headers.append((wire.PROMPT_PARTS, listed))
        raw = make_request(method, target, headers, body)
        with self._waits.measure(name or target, entry):
            called: Any = self._pool.call(
                entry.callers, raw, CALL_TIMEOUT_SECONDS
            )
        return None if isinstance(called, Err) else called.ok_value


def make_prompt(number: int) -> list[str]:
    """Make the shared parts of a prompt.

    :param number: number of the request.
    :returns: ids of the parts, the same first one for all requests.
    """
    return [FIRST_PART, OTHER_PARTS[number % len(OTHER_PARTS)]]


def find_version(body: bytes) -> str:
    """Find the software version that wrote the first event of a text.

    :param body: data of events, or a complete answer.
    :returns: the version, empty if there is none.
    """
    _before, _mark, rest = body.partition(VERSION_MARK)
    return rest.partition(b'\n')[0].decode()


def check_answer(
    name: str,
    answer: SoakAnswer,
    expected: str,
    runs: int,
) -> list[str]:
    """Check one answer to an online request.

    :param name: id of the request.
    :param answer: answer that the caller received.
    :param expected: complete text.
    :param runs: number of runs on upstreams.
    :returns: description of each violated invariant.
    """
    violations = []
    texts = [
        line.removeprefix('data: ')
        for line in answer.body.decode().splitlines()
        if line.startswith('data: ')
    ]
    if answer.status == OK and texts != expected.split('\n'):
        violations.append(f'{name}: the answer is incomplete or wrong')
    if ErrorKind.ends_upstreams.value.encode() in answer.body:
        violations.append(f'{name}: refused for a crash that it did not cause')
    if answer.path.startswith(RUN_ONCE_PREFIX):
        if runs > 1:
            violations.append(f'{name}: ran {runs} times')
        if answer.status in NOT_RUN and runs:
            violations.append(f'{name}: refused although it ran')
    return violations


def check_job(
    job: SoakJob,
    replica: StandInReplica,
    runs: Counter[str],
) -> list[str]:
    """Check one job after the run.

    :param job: job from the view of its caller.
    :param replica: replica that makes the expected texts.
    :param runs: number of runs of each item on upstreams.
    :returns: description of each violated invariant.
    """
    names = [f'{job.name}-{number}' for number in range(ITEMS_PER_JOB)]
    has_run = any(runs[name] for name in names)
    if set(job.statuses) <= NOT_RUN and has_run:
        return [f'{job.name}: refused each time although an item ran']
    if job.statuses[-1:] == [LIMIT_REACHED] and has_run:
        return [f'{job.name}: over the limit at last although an item ran']
    if not job.is_accepted:
        return []
    if sorted(found['id'] for found in job.results) != names:
        return [
            f'{job.name}: has {len(job.results)} results of {ITEMS_PER_JOB}'
        ]
    return [
        f'{found["id"]}: the text is incomplete or wrong'
        for found in job.results
        if found['output']
        != replica.make_output(
            found['id'], find_version(found['output'].encode())
        )
    ]
