"""Owners of a chunk that claim, crash, pause and wake in any order."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok, Result

from tests.builders import build_disk, build_job
from wigeonpier.batch import journal as journal_module
from wigeonpier.batch.chunk import (
    Chunk,
    ChunkProblemError,
    Workshop,
    make_error,
)
from wigeonpier.batch.claims import Claim
from wigeonpier.batch.journal import JournalEndedError
from wigeonpier.batch.results import read_outcomes
from wigeonpier.batch.takeover import claim_chunk, open_chunk
from wigeonpier.disk import folder, storage
from wigeonpier.disk.client import DiskFailure
from wigeonpier.disk.folder import (
    DataFolder,
    StaleFenceError,
    WrongOffsetError,
)
from wigeonpier.platform.keys import name_chunk
from wigeonpier.platform.port import Entry, Failure
from wigeonpier.policy.attempts import Bounds, note_loss
from wigeonpier.records import Outcome, Status

ITEMS = 3
ONE_RUN = frozenset((1, 2))
CENTRES = ('a', 'b', 'c', 'd')


@dataclass
class MemoryPlatform:
    """Keys in memory; loses the answers that a test asks for."""

    entries: dict[str, Entry] = field(default_factory=dict)
    revision: int = 0
    lose: int = 0

    def get(self, key: str) -> Result[Entry | None, Failure]:
        return Ok(self.entries.get(key))

    def swap(
        self,
        key: str,
        value: bytes,
        revision: int,
        _lease: int = 0,
    ) -> Result[int, Failure]:
        known = self.entries.get(key)
        if (known.revision if known else 0) != revision:
            return Err(Failure.conflict)
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        if self.lose:
            self.lose -= 1
            return Err(Failure.unknown)
        return Ok(self.revision)


class MemoryDisks:
    """Data folders reached without a network; each can misbehave."""

    def __init__(self, root: str) -> None:
        self.root = root
        self.folders: dict[str, DataFolder] = {}
        self.lose_answers = 0
        for centre in CENTRES:
            self.add(centre)

    def add(self, centre: str) -> None:
        path = f'{self.root}/{centre}-{len(self.folders)}'
        folder = DataFolder(path, lambda: 0)
        folder.data_centre = centre
        self.folders[folder.incarnation] = folder

    def list_disks(self) -> list[Any]:
        return [
            build_disk(incarnation, folder.data_centre)
            for incarnation, folder in self.folders.items()
        ]

    def list_failing(self) -> frozenset[str]:
        return frozenset()

    def append(self, incarnation, name, offset, lines):
        folder = self.folders.get(incarnation)
        if folder is None:
            return Err(DiskFailure.other_folder)
        try:
            size = folder.append(name, offset, lines)
        except StaleFenceError:
            return Err(DiskFailure.fenced)
        except WrongOffsetError:
            return Err(DiskFailure.unreachable)
        if self.lose_answers and lines:
            self.lose_answers -= 1
            return Err(DiskFailure.unreachable)
        return Ok(size)

    def fence(self, incarnation, job, chunk, fence):
        folder = self.folders.get(incarnation)
        if folder is None:
            return Err(DiskFailure.unreachable)
        return Ok(folder.fence((job, chunk), fence))

    def read_segment(self, incarnation, name):
        folder = self.folders.get(incarnation)
        if folder is None:
            return Err(DiskFailure.unreachable)
        content = folder.read_segment(name)
        return Err(DiskFailure.absent) if content is None else Ok(content)

    def read_page(self, _incarnation, _file_id, _index):
        lines = [
            msgspec.json.encode(
                {
                    'custom_id': f'item-{number}',
                    'url': '/v1/chat/completions',
                    'body': {},
                    'idempotent': number not in ONE_RUN,
                }
            )
            for number in range(ITEMS)
        ]
        return Ok(b'\n'.join(lines))


class TakeoverMachine(RuleBasedStateMachine):
    """The model: which items were started, and which results counted."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.platform = MemoryPlatform()
        self.disks = MemoryDisks(self.folder.name)
        self.job = build_job(pages=(ITEMS,))
        self.key = name_chunk(self.job.id, 0)
        self.owners: list[Chunk] = []
        self.begun: list[set[int]] = []
        self.starts = [0] * ITEMS
        self.counted: dict[int, Outcome] = {}
        self.readable: list[Outcome] | None = None
        self.lost_folders = 0

    @initialize()
    def begin(self) -> None:
        self.claim()

    @rule()
    def claim(self) -> None:
        """Someone takes the chunk over, whoever owns it now."""
        workshop = Workshop(
            platform=self.platform,
            disks=self.disks,
            list_disks=self.disks.list_disks,
            is_gone=lambda copy: copy not in self.disks.folders,
            owner=f'vm-{len(self.owners)}',
            copies=3,
            least_copies=2,
            bounds=Bounds(3, 2),
        )
        entry = self.platform.entries.get(self.key)
        known = msgspec.json.decode(entry.value, type=Claim) if entry else None
        if known and known.is_done:
            return
        try:
            claim, revision = claim_chunk(
                workshop,
                self.job,
                0,
                known,
                entry.revision if entry else 0,
            )
            chunk = open_chunk(workshop, self.job, 0, claim, revision)
        except (ChunkProblemError, JournalEndedError):
            return
        self._note_settled(chunk)
        self.owners.append(chunk)
        self.begun.append(set())

    @precondition(lambda self: self.owners)
    @rule(pick=st.integers(0, 9), alone=st.booleans())
    def start_item(self, pick: int, alone: bool) -> None:
        """Any owner, a stale one too, starts its next item."""
        place = pick % len(self.owners)
        chunk = self.owners[place]
        queue = chunk.ready or chunk.suspects
        if chunk.is_lost or not queue:
            return
        item = queue.popleft()
        try:
            chunk.record_start(item, alone=alone)
        except JournalEndedError:
            chunk.is_lost = True
            return
        self.starts[item.index] += 1
        self.begun[place].add(item.index)

    @precondition(lambda self: any(self.begun))
    @rule(pick=st.integers(0, 9), way=st.sampled_from(('good', 'lost')))
    def end_item(self, pick: int, way: str) -> None:
        """An owner's item ends, with an answer or with its upstream."""
        places = [place for place, items in enumerate(self.begun) if items]
        place = places[pick % len(places)]
        chunk = self.owners[place]
        item = chunk.items[min(self.begun[place])]
        self.begun[place].discard(item.index)
        if chunk.is_lost:
            return
        try:
            if way == 'good':
                body = msgspec.Raw(b'"owner %d"' % place)
                chunk.write(
                    Outcome(
                        item.index,
                        Status.succeeded,
                        item.line.custom_id,
                        200,
                        body,
                    ),
                )
            else:
                note_loss(chunk.ledgers[item.index])
                chunk.plan(item)
        except JournalEndedError:
            chunk.is_lost = True
        self._note_settled(chunk)

    @precondition(lambda self: self.owners)
    @rule()
    def cancel(self) -> None:
        """An entry fences the owner and ends what is open."""
        self.claim()
        chunk = self.owners[-1]
        if chunk.is_lost or self.begun[-1]:
            return
        items = (*chunk.ready, *chunk.suspects)
        try:
            chunk.write(
                *(make_error(item, Status.cancelled, 'c') for item in items),
            )
        except JournalEndedError:
            chunk.is_lost = True
            return
        chunk.ready.clear()
        chunk.suspects.clear()
        self._note_settled(chunk)
        self.finish(len(self.owners) - 1)

    @precondition(lambda self: self.owners)
    @rule(pick=st.integers(0, 9))
    def finish(self, pick: int) -> None:
        """Any owner whose items are all settled makes them readable."""
        chunk = self.owners[pick % len(self.owners)]
        if chunk.is_settled and not chunk.is_lost:
            chunk.finish()

    @rule(answers=st.integers(1, 3))
    def lose_append_answers(self, answers: int) -> None:
        self.disks.lose_answers = answers

    @rule()
    def lose_swap_answer(self) -> None:
        self.platform.lose = 1

    @precondition(lambda self: self.lost_folders < 1)
    @rule(pick=st.integers(0, 9))
    def replace_folder(self, pick: int) -> None:
        """One data folder is lost, and an empty one comes in its place."""
        names = list(self.disks.folders)
        folder = self.disks.folders.pop(names[pick % len(names)])
        self.disks.add(folder.data_centre)
        self.lost_folders += 1

    @invariant()
    def nothing_that_runs_once_starts_twice(self) -> None:
        assert all(self.starts[index] <= 1 for index in ONE_RUN), self.starts

    @invariant()
    def results_are_whole_and_never_change(self) -> None:
        entry = self.platform.entries.get(self.key)
        if entry is None:
            return
        claim = msgspec.json.decode(entry.value, type=Claim)
        if not claim.is_done:
            assert self.readable is None
            return
        (segment,) = claim.segments
        name = (self.job.id, 0, segment.fence)
        for copy in segment.copies:
            if copy in self.disks.folders:
                content = self.disks.folders[copy].read_segment(name) or b''
                outcomes = read_outcomes(content, ITEMS, 'chunk')
                assert self.readable in (None, outcomes)
                self.readable = outcomes
                for index, counted in self.counted.items():
                    assert outcomes[index] == counted

    def _note_settled(self, chunk: Chunk) -> None:
        """A result that counted for an owner in force must stay."""
        if chunk.journal.ended or chunk.is_lost:
            return
        for index, ledger in enumerate(chunk.ledgers):
            if ledger.outcome:
                self.counted.setdefault(index, ledger.outcome)

    def teardown(self) -> None:
        for chunk in self.owners:
            chunk.journal.close()
        self.folder.cleanup()


def _call_at_once(function: Any, *details: Any) -> None:
    function(*details)


@pytest.fixture(autouse=True)
def _no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal_module, 'COPY_TIMEOUT_SECONDS', 0)
    monkeypatch.setattr(journal_module, 'RETRY_INTERVAL_SECONDS', 0)
    # The order of writes is what counts here, not that they are forced.
    monkeypatch.setattr(storage, 'call_in_thread', _call_at_once)
    monkeypatch.setattr(folder, 'call_in_thread', _call_at_once)
    monkeypatch.setattr(storage.os, 'fsync', lambda _descriptor: None)


TestTakeover = TakeoverMachine.TestCase
TestTakeover.settings = settings(max_examples=120, stateful_step_count=30)


class UnfencedDisks(MemoryDisks):
    """Data folders that forget to refuse older owners."""

    def fence(self, incarnation, job, chunk, fence):
        folder = self.folders.get(incarnation)
        return Ok([]) if folder else Err(DiskFailure.unreachable)


class UnfencedMachine(TakeoverMachine):
    """The same runs with the fence switched off."""

    def __init__(self) -> None:
        super().__init__()
        self.disks = UnfencedDisks(f'{self.folder.name}/unfenced')


class OneCopyMachine(TakeoverMachine):
    """The same runs where a record counts when any copy has it."""

    def __init__(self) -> None:
        super().__init__()
        append = self.disks.append
        self.reached: dict[tuple, str] = {}

        def append_to_one(incarnation, name, offset, lines):
            chosen = self.reached.setdefault(name, incarnation)
            if incarnation == chosen:
                return append(incarnation, name, offset, lines)
            return Ok(offset + len(lines))

        self.disks.append = append_to_one


@pytest.mark.parametrize('machine', [UnfencedMachine, OneCopyMachine])
def test_a_switched_off_guard_is_caught(machine) -> None:
    """Each guard is needed: without it the same runs find a violation."""
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=400,
                stateful_step_count=40,
                phases=(Phase.generate,),
                print_blob=False,
            ),
        )
