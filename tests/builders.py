"""Builders of test data and of sites for scenarios."""

from __future__ import annotations

import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent

from wigeonpier.batch.claims import Claim, Segment
from wigeonpier.batch.models import Job
from wigeonpier.bench.arrivals import Arrival
from wigeonpier.bench.batching import EngineShape
from wigeonpier.bench.load import Client, make_lines
from wigeonpier.bench.site import KORO, StandInSite
from wigeonpier.policy.copies import Disk
from wigeonpier.policy.route import UpstreamState
from wigeonpier.settings.process import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable

FAST = EngineShape(step_seconds=0.004, step_per_stream=0.0002)
SLOW = EngineShape(step_seconds=0.05, step_per_stream=0.0002)
POLL_SECONDS = 0.02


@dataclass
class Bench:
    """Site, client and results of one scenario."""

    site: StandInSite = None  # type: ignore[assignment]
    client: Client = None  # type: ignore[assignment]
    job: str = ''
    items: int = 0
    batch: dict[str, Any] = field(default_factory=dict)
    results: list[dict[str, Any]] = field(default_factory=list)
    notes: dict[str, Any] = field(default_factory=dict)
    stack: ExitStack = field(default_factory=ExitStack)

    def start(self, shape: EngineShape = FAST, **changes: Any) -> None:
        """Start a site."""
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        batch = changes.pop('batch', {})
        plan = replace(KORO, **changes)
        self.site = StandInSite(
            plan,
            Path(folder),
            1,
            shape,
            batch,
            trace_file=f'{folder}/spans.jsonl',
        )
        self.site.start()
        self.stack.callback(self.site.stop)
        self.client = Client(
            self.site.list_addresses(),
            plan.key,
            plan.service,
        )

    def submit(
        self,
        items: int,
        length: int = 8,
        prompts: list[str] | None = None,
        **options: Any,
    ) -> str:
        """Create a batch job."""
        texts = prompts or [f'corner {number}' for number in range(items)]
        lines = make_lines(
            self.site.plan.service,
            texts,
            length,
            idempotent=options.pop('idempotent', None),
        )
        self.items = len(texts)
        self.job = self.client.create_batch(
            self.client.upload(lines),
            **options,
        )['id']
        return self.job

    def finish(self, seconds: float = 60) -> None:
        """Wait until the job has finished and read its results."""
        self.client.addresses = self.site.list_addresses()
        self.batch = self.client.await_batch(self.job, seconds)
        self.results = self.client.read_results(self.batch)

    def ask(self, prompt: str = 'what is R1?', length: int = 8) -> Any:
        """Send one online request."""
        return self.client.ask(Arrival(0, prompt, length))

    def count_starts(self, prompt: str) -> int:
        """Count how often engines started a prompt."""
        return sum(
            replica.engine.prompt_starts[prompt]
            for replica in self.all_replicas()
            if replica.engine
        )

    def all_replicas(self) -> list[Any]:
        """List all replicas, including crashed ones."""
        return [*self.site.replicas.values(), *self.notes.get('lost', [])]

    def crash_replica(self, name: str) -> None:
        """Crash an upstream VM and keep its replica for later checks."""
        replica = self.site.replicas[name]
        self.notes.setdefault('lost', []).append(replica)
        self.site.crash_replica(name)

    def list_owners(self) -> set[str]:
        """List VMs that own an unfinished chunk."""
        return {
            cached.claim.owner
            for job in self.site.find_entry().app.board.jobs.values()
            for cached in job.claims.values()
            if cached.claim.owner and not cached.claim.is_done
        }

    def close(self) -> None:
        """Stop the site and remove its files."""
        self.stack.close()


def wait_for(check: Callable[[], Any], seconds: float = 10) -> Any:
    """Poll a check until its result is true, and return the result."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        gevent.sleep(POLL_SECONDS)
    raise AssertionError(f'condition not met within {seconds} s')


def build_job(pages: tuple[int, ...] = (4, 4), **changes: Any) -> Job:
    """Build a job."""
    parts: dict[str, Any] = {
        'id': 'batch_1',
        'customer': 'shop',
        'file': 'file-1',
        'pages': pages,
        'copies': ('a', 'b'),
        'url': '/v1/chat/completions',
        'model': 'm',
        'service': 's',
        'idempotent': True,
        'window': '24h',
        'created': 1000,
        'deadline': 90_000,
    }
    return Job(**(parts | changes))


def build_claim(**changes: Any) -> Claim:
    """Build a claim."""
    parts: dict[str, Any] = {
        'owner': 'vm-1',
        'token': 't',
        'fence': 1,
        'segments': (Segment(1, ('a', 'b')),),
    }
    return Claim(**(parts | changes))


def build_upstream(name: str, **changes: Any) -> UpstreamState:
    """Build an upstream's routing state."""
    parts: dict[str, Any] = {
        'name': name,
        'address': f'10.0.0.1:{len(name)}',
        'service': 's',
        'models': ('m',),
        'data_centre': 'a',
        'region': 'r',
    }
    return UpstreamState(**(parts | changes))


def build_disk(name: str, data_centre: str = 'a', free: int = 1 << 40) -> Disk:
    """Build a data folder that copies can be placed in."""
    return Disk(name, f'10.0.0.2:{len(name)}', data_centre, free)


def build_entry_settings(**changes: Any) -> EntrySettings:
    """Build settings of an entry."""
    parts: dict[str, Any] = {
        'name': 'entry-1',
        'data_centre': 'suva-a',
        'platform': '127.0.0.1:1',
        'peer_keys': ('0123456789abcdef',),
    }
    return EntrySettings(**(parts | changes))
