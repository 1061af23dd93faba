"""The catalogue of numbered log events."""

from __future__ import annotations

from enum import Enum


class Event(Enum):
    """Every event that a process logs: number, level and meaning."""

    process_started = (100, 'info', 'A process listens on its address.')
    process_leaving = (101, 'info', 'A process takes no new work and drains.')
    process_stopped = (102, 'info', 'A process has drained and ends.')
    loop_failed = (104, 'error', 'A round of a controller failed.')
    work_cut = (103, 'error', 'The drain limit passed with work in hand.')
    request_done = (200, 'info', 'A request got its final answer.')
    request_failed = (201, 'error', 'A request ended on an internal error.')
    request_broken = (204, 'warning', 'A connection broke under an answer.')
    request_retried = (202, 'info', 'A request goes to another upstream.')
    stream_resumed = (203, 'warning', 'A stream goes on at another upstream.')
    upstream_added = (300, 'info', 'An upstream is routed to.')
    upstream_removed = (301, 'warning', 'An upstream is no longer routed to.')
    heartbeat_failed = (302, 'warning', 'A heartbeat got no answer.')
    platform_failed = (400, 'warning', 'A platform call got no good answer.')
    platform_unknown = (401, 'warning', 'A write may have taken effect.')
    configuration_applied = (500, 'info', 'A configuration is in force.')
    configuration_refused = (501, 'error', 'A configuration was not usable.')
    job_accepted = (600, 'info', 'A batch job was accepted.')
    job_finished = (601, 'info', 'A batch job has its last result.')
    chunk_claimed = (602, 'info', 'A process owns a chunk of a job.')
    chunk_done = (603, 'info', 'Each item of a chunk has its result.')
    chunk_lost = (604, 'warning', 'An owner was fenced and stopped.')
    chunk_taken_over = (605, 'warning', 'A chunk of a lost owner goes on.')
    item_suspect = (606, 'warning', 'An item was running when work was lost.')
    batch_preempted = (607, 'info', 'Batch work gave way to online work.')
    chunk_failed = (608, 'error', 'Work on a chunk stopped on an error.')
    chunk_not_opened = (609, 'info', 'An offered chunk could not be taken.')
    disk_opened = (700, 'info', 'A data folder is in use.')
    disk_refused = (701, 'warning', 'A data folder refused an append.')
    journal_repaired = (702, 'warning', 'A torn tail was cut off a journal.')
    copy_lost = (703, 'warning', 'A copy of a journal cannot be reached.')
    copy_restored = (704, 'info', 'A lost copy was made again elsewhere.')
    promise_broken = (900, 'error', 'An invariant does not hold.')

    def __init__(self, number: int, level: str, meaning: str) -> None:
        """Spread the value over named attributes."""
        self.number = number
        self.level = level
        self.meaning = meaning
