"""Runs one batch item at the upstream, in as many runs as needed."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from result import Err

from wigeonpier.hosted.events import EventReader
from wigeonpier.hosted.failures import MAX_SAFE_IDLE_SECONDS, shows_fault
from wigeonpier.hosted.foreignanswer import expect_answer
from wigeonpier.platform import ingress
from wigeonpier.policy.fingerprint import digest_request
from wigeonpier.policy.promptparts import make_part_keys
from wigeonpier.policy.streamorigin import UNKNOWN_VERSION, is_same_version
from wigeonpier.web.exchange import make_request
from wigeonpier.web.readlimits import (
    MAX_SMALL_BODY_BYTES,
    EndlessAnswerError,
    ReadLimit,
)

if TYPE_CHECKING:
    from wigeonpier.models import JobItem, OpenJob, Replica
    from wigeonpier.web.exchange import Exchange
    from wigeonpier.web.pool import ConnectionPool

    Key = tuple[str, int]

# An item waits for a slot behind online requests.  A run at an unresponsive
# upstream is aborted, and the next run resumes after the last event.
HEAD_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 2.0
# Events of one run of an item, which are held until it completes.
MAX_OUTPUT_BYTES = 8_388_608
# Memory of the text of an event beside its bytes.
EVENT_OVERHEAD_BYTES = 64
UNPROCESSABLE_STATUS = 422
ITEM_METHOD = 'POST'


class RunOutcome(StrEnum):
    """How one run of an item ended."""

    whole = 'whole'
    paused = 'paused'
    # These three never reached a slot.
    unreachable = 'unreachable'
    refused = 'refused'
    replaced = 'replaced'
    broken = 'broken'
    failed = 'failed'
    impossible = 'impossible'


NOT_RUN = frozenset(
    (RunOutcome.unreachable, RunOutcome.refused, RunOutcome.replaced)
)


@dataclass(slots=True)
class ItemWork:
    """An item that this process runs.

    :param job: its job.
    :param index: its position in the job.
    :param item: the request.
    :param due_at: when it is due, seconds of the monotonic clock.
    :param attempt_until: until when it must be attempted, likewise.
    :param texts: data of the events so far.
    :param last_event: id of the last of them.
    :param failures: runs that the upstream answered with an error.
    :param retry_at: earliest start of the next run, likewise.
    :param run_seconds: total duration of its runs so far.
    :param saved_events: number of events whose text is saved in the store.
    :param saved_failures: number of failures that are saved there.
    :param events_before_run: number of events before the current run.
    :param is_running: whether it is at the upstream.
    :param is_paused: whether its current run is being stopped.
    :param is_dropped: whether it is no longer assigned to this process.
    :param isolation: which other suspected requests may run beside it, empty
        if it is not suspected itself.
    :param inherited_events: number of events that another process, or an
        earlier start of this one, has read.
    :param moves: how often it was handed over to another process.
    :param response: response that is being read.
    :param is_faulted: whether the last run showed a fault of the upstream.
    :param version: software version of the upstream that wrote the events.
    :param trial: what excludes other runs of the same cause at the upstream,
        empty if it is not suspected itself.
    :param started_at: when its current run began, seconds of the monotonic
        clock.
    :param first_event_at: when the first event of that run arrived, likewise;
        0 before, and once the parts of its prompt are recorded as sound.
    """

    job: OpenJob
    index: int
    item: JobItem
    due_at: float
    attempt_until: float
    texts: list[str] = field(default_factory=list)
    last_event: str = ''
    failures: int = 0
    retry_at: float = 0
    run_seconds: float = 0
    saved_events: int = 0
    saved_failures: int = 0
    events_before_run: int = 0
    is_running: bool = False
    is_paused: bool = False
    is_dropped: bool = False
    isolation: str = ''
    inherited_events: int = 0
    moves: int = 0
    response: Exchange | None = None
    is_faulted: bool = False
    version: str = UNKNOWN_VERSION
    trial: str = ''
    started_at: float = 0
    first_event_at: float = 0
    _fingerprint: str = ''
    _part_keys: tuple[str, ...] | None = None

    @property
    def fingerprint(self) -> str:
        """Return the digest of its content; equal online requests share it."""
        if not self._fingerprint:
            self._fingerprint = digest_request(
                self.job.host,
                ITEM_METHOD,
                self.item.path,
                self.item.body,
                self.job.customer,
            )
        return self._fingerprint

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Return the keys of the shared parts of its prompt, in order."""
        if self._part_keys is None:
            self._part_keys = make_part_keys(
                self.job.service, ingress.list_shared_parts(self.item)
            )
        return self._part_keys

    @property
    def key(self) -> tuple[str, int]:
        """Return the id of the job and the position."""
        return (self.job.name, self.index)

    @property
    def has_new_events(self) -> bool:
        """Check whether the current run has produced events."""
        return len(self.texts) > self.events_before_run

    def count_events(self, version: str) -> int:
        """Count the events that a software version can continue after.

        :param version: version of the upstream.
        :returns: 0 if the item restarts there.
        """
        is_same = is_same_version(self.version, version)
        return len(self.texts) if is_same else 0

    def bind_version(self, version: str) -> bool:
        """Prepare a run; the item restarts at another software version.

        :param version: version of the upstream.
        :returns: whether events were dropped.
        """
        is_restarted = bool(self.texts) and not is_same_version(
            self.version, version
        )
        if is_restarted:
            self.texts.clear()
            self.last_event = ''
            self.saved_events = 0
            self.inherited_events = 0
            self.run_seconds = 0
        self.version = version
        return is_restarted

    def record_event(self, now: float) -> None:
        """Record that an event of the current run has arrived.

        :param now: seconds of the monotonic clock.
        """
        if not self.has_new_events:
            self.first_event_at = now

    def stop(self) -> None:
        """Stop the current run; the text so far is kept."""
        self.is_paused = True
        if self.response is not None:
            self.response.abort()


def drop_work(queue: dict[Key, ItemWork], key: Key) -> None:
    """Stop an item that is no longer assigned to this process.

    :param queue: items of this process, by job and position.
    :param key: the item; it may have completed already.
    """
    work = queue.pop(key, None)
    if work is not None:
        work.is_dropped = True
        work.stop()


def run_item(
    work: ItemWork,
    replica: Replica,
    pool: ConnectionPool,
) -> RunOutcome:
    """Run an item, resuming after its last event.

    :param work: the item; new events are added to its texts.
    :param replica: the upstream.
    :param pool: connections to upstreams.
    :returns: how the run ended.
    """
    started_at = time.monotonic()
    work.started_at = started_at
    work.events_before_run = len(work.texts)
    last_event = work.last_event
    work.is_faulted = False
    opened = pool.begin(
        replica.address, HEAD_TIMEOUT_SECONDS, identity=work.item.name
    )
    if isinstance(opened, Err):
        return RunOutcome.unreachable
    response = opened.ok_value
    work.response = response
    if work.is_paused:
        # It was stopped while the connection was being opened.
        response.abort()
        response.close()
        work.response = None
        return RunOutcome.paused
    try:
        outcome = _send_and_read(work, replica, response)
    except (OSError, UnicodeDecodeError) as error:
        if _exceeds_output(error):
            # Its next run would otherwise exceed the limit as well.
            del work.texts[work.events_before_run :]  # noqa: WPS420
            work.last_event = last_event
        outcome = RunOutcome.paused if work.is_paused else RunOutcome.broken
        work.is_faulted = not work.is_paused and _judge_break(
            work, response, error
        )
    if not response.is_whole:
        response.abort()
    response.close()
    work.response = None
    work.run_seconds += time.monotonic() - started_at
    return outcome


def _send_and_read(
    work: ItemWork, replica: Replica, response: Exchange
) -> RunOutcome:
    headers = ingress.list_item_headers(
        work.job.host,
        work.item,
        ingress.Send(replica.name, 0, work.last_event, work.job.customer),
    )
    raw = make_request(ITEM_METHOD, work.item.path, headers, work.item.body)
    expect_answer(response, work.item.name, replica.name)
    response.send(raw, HEAD_TIMEOUT_SECONDS)
    if not ingress.bears_identity(response, work.item.name):
        return _reject_answer(work, response)
    if ingress.has_not_run(response):
        instance = ingress.get_instance(response)
        response.read(READ_TIMEOUT_SECONDS, MAX_SMALL_BODY_BYTES)
        is_other_instance = bool(instance) and instance != replica.name
        return RunOutcome.replaced if is_other_instance else RunOutcome.refused
    if not ingress.is_signed(response):
        return _reject_answer(work, response)
    if not ingress.is_success(response):
        response.read(READ_TIMEOUT_SECONDS, MAX_SMALL_BODY_BYTES)
        if response.status == UNPROCESSABLE_STATUS:
            return RunOutcome.impossible
        work.is_faulted = shows_fault(response.status)
        return RunOutcome.failed
    return _read_events(work, response)


def _reject_answer(work: ItemWork, response: Exchange) -> RunOutcome:
    """Drop an answer that the upstream did not give to this run."""
    response.abort()
    work.is_faulted = True
    return RunOutcome.broken


def _read_events(work: ItemWork, response: Exchange) -> RunOutcome:
    reader = EventReader(response)
    work.first_event_at = 0
    left = MAX_OUTPUT_BYTES
    while True:
        event = reader.read(READ_TIMEOUT_SECONDS)
        if event is None:
            work.is_faulted = reader.is_cut_off
            return RunOutcome.broken if reader.is_cut_off else RunOutcome.whole
        left -= len(event.raw) + EVENT_OVERHEAD_BYTES
        if left < 0:
            raise response.cut(ReadLimit.body)
        if event.identity:
            work.record_event(time.monotonic())
            work.texts.append(event.text)
            work.last_event = event.identity


def _exceeds_output(error: Exception) -> bool:
    return (
        isinstance(error, EndlessAnswerError) and error.limit is ReadLimit.body
    )


def _judge_break(work: ItemWork, response: Exchange, error: Exception) -> bool:
    """Judge whether a run that broke off shows a fault of the upstream.

    An item without events may have waited for a slot, or have been sent on a
    connection that the upstream was closing.
    """
    if isinstance(error, EndlessAnswerError):
        return True
    if work.has_new_events or not isinstance(error, OSError):
        return True
    is_silent = isinstance(error, TimeoutError)
    return not is_silent and response.idle_seconds < MAX_SAFE_IDLE_SECONDS
