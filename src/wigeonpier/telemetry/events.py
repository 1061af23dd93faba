"""Catalogue of the numbered log events."""

from __future__ import annotations

from enum import Enum
from typing import Final

INFO_LEVEL: Final = 'info'
WARNING_LEVEL: Final = 'warning'
ERROR_LEVEL: Final = 'error'


class Event(Enum):
    """Every event that a process logs, with number, level and meaning."""

    process_started = (100, INFO_LEVEL, 'A process listens on its address.')
    process_leaving = (
        101,
        INFO_LEVEL,
        'A process accepts no new work and drains.',
    )
    process_stopped = (102, INFO_LEVEL, 'A process has drained and exits.')
    settings_reloaded = (105, INFO_LEVEL, 'The settings were reloaded.')
    settings_refused = (
        106,
        ERROR_LEVEL,
        'New settings are invalid; the old ones stay in force.',
    )
    loop_failed = (
        104,
        ERROR_LEVEL,
        'An iteration of a background loop failed.',
    )
    work_cut = (
        103,
        ERROR_LEVEL,
        'A process exits with work still in progress.',
    )
    request_done = (
        200,
        INFO_LEVEL,
        'A request ended; the line lists each send with its reason.',
    )
    request_failed = (
        201,
        ERROR_LEVEL,
        'A request failed with an internal error.',
    )
    request_broken = (
        204,
        WARNING_LEVEL,
        'A connection broke during a response.',
    )
    request_retried = (
        202,
        INFO_LEVEL,
        'A request is retried at another upstream.',
    )
    stream_resumed = (
        203,
        WARNING_LEVEL,
        'A stream was resumed at another upstream.',
    )
    stream_not_resumed = (
        209,
        WARNING_LEVEL,
        'A stream was not resumed: its version is unknown or no longer served.',
    )
    foreign_answer = (
        210,
        WARNING_LEVEL,
        'An upstream sent an answer that bears the id of another request.',
    )
    answer_endless = (
        211,
        WARNING_LEVEL,
        'A response was cut off: it exceeds a limit of bytes or time.',
    )
    customer_limited = (
        205,
        INFO_LEVEL,
        'A request was refused: its customer has reached a limit.',
    )
    request_unplaced = (
        208,
        INFO_LEVEL,
        'A request was refused: no slot becomes free in time.',
    )
    limit_unreadable = (
        207,
        ERROR_LEVEL,
        'A response about the limits of a customer is invalid.',
    )
    caller_turned_away = (
        206,
        WARNING_LEVEL,
        'A request was refused: its key is invalid or cannot be checked.',
    )
    upstream_added = (300, INFO_LEVEL, 'An upstream was added to routing.')
    upstream_removed = (
        301,
        WARNING_LEVEL,
        'An upstream was removed from routing.',
    )
    upstream_leaving = (303, INFO_LEVEL, 'An upstream accepts no new work.')
    upstream_unreadable = (
        304,
        ERROR_LEVEL,
        'An entry of the register or a report of an upstream is invalid.',
    )
    upstream_outdated = (
        308,
        INFO_LEVEL,
        'A late entry of an earlier start of an upstream was ignored.',
    )
    upstream_pace_known = (
        316,
        INFO_LEVEL,
        'The baseline pace of an upstream is measured; until then entries'
        ' choose by count.',
    )
    upstream_slow = (
        317,
        WARNING_LEVEL,
        'An upstream has worked more slowly than usual for some seconds.',
    )
    upstream_ended = (
        309,
        WARNING_LEVEL,
        'An upstream crashed: nothing listens on its address.',
    )
    request_suspected = (
        310,
        WARNING_LEVEL,
        'A request was running at an upstream that crashed.',
    )
    request_cleared = (
        311,
        INFO_LEVEL,
        'A request is no longer suspected of causing crashes.',
    )
    request_condemned = (
        312,
        ERROR_LEVEL,
        'A request crashes upstreams; it is not run any more.',
    )
    refusal_unkept = (
        314,
        WARNING_LEVEL,
        'The refusal of a request that crashes upstreams is not stored.',
    )
    refusal_held = (
        315,
        INFO_LEVEL,
        'The refusal of a request that crashes upstreams is on this disk.',
    )
    request_refused = (
        313,
        WARNING_LEVEL,
        'A request that crashes upstreams was refused.',
    )
    part_suspected = (
        318,
        WARNING_LEVEL,
        'A request whose prompt has shared parts was lost in a crash.',
    )
    part_condemned = (
        319,
        ERROR_LEVEL,
        'Parts of prompts crash upstreams; requests with them are not run.',
    )
    part_cleared = (
        323,
        INFO_LEVEL,
        'Parts of prompts are no longer suspected of causing crashes.',
    )
    upstream_ejected = (
        320,
        WARNING_LEVEL,
        'An upstream gets no requests: too many failed, at several entries.',
    )
    upstream_on_trial = (
        321,
        INFO_LEVEL,
        'An ejected upstream gets single requests that may be repeated.',
    )
    upstream_returned = (
        322,
        INFO_LEVEL,
        'An ejected upstream gets requests again.',
    )
    load_followed = (
        305,
        INFO_LEVEL,
        'Load updates of an upstream are received.',
    )
    load_lost = (
        306,
        WARNING_LEVEL,
        'Load updates of an upstream are no longer received.',
    )
    heartbeat_failed = (302, WARNING_LEVEL, 'A heartbeat got no response.')
    connection_dropped = (
        307,
        WARNING_LEVEL,
        'A peer dropped an idle connection; its idle limit is reduced.',
    )
    peer_cut_off = (
        340,
        WARNING_LEVEL,
        'A process or an engine sent bytes without completing an answer.',
    )
    platform_failed = (400, WARNING_LEVEL, 'A platform call failed.')
    platform_lost = (402, WARNING_LEVEL, 'The store is unreachable.')
    platform_found = (403, INFO_LEVEL, 'The store is reachable again.')
    reach_lost = (
        404,
        ERROR_LEVEL,
        'Neither the store nor any upstream is reachable.',
    )
    reach_regained = (405, INFO_LEVEL, 'An upstream is reachable again.')
    platform_rejected = (
        406,
        ERROR_LEVEL,
        'A write exceeds a limit of the store, which never accepts it.',
    )
    key_unreadable = (
        407,
        ERROR_LEVEL,
        'A key of the store cannot be used; the others are.',
    )
    platform_unknown = (
        401,
        WARNING_LEVEL,
        'The outcome of a write is unknown; it may have taken effect.',
    )
    configuration_applied = (500, INFO_LEVEL, 'A configuration is in force.')
    configuration_refused = (501, ERROR_LEVEL, 'A configuration is invalid.')
    knowledge_old = (
        502,
        WARNING_LEVEL,
        'It is unknown whether keys were revoked; none is accepted here.',
    )
    knowledge_proved = (
        503,
        INFO_LEVEL,
        'The configuration is confirmed to be the newest.',
    )
    configuration_odd = (
        504,
        WARNING_LEVEL,
        'A configuration in force contains a probable mistake.',
    )
    job_accepted = (600, INFO_LEVEL, 'A batch job was accepted.')
    job_finished = (601, INFO_LEVEL, 'A batch job is finished.')
    chunk_claimed = (602, INFO_LEVEL, 'A process owns a chunk of a job.')
    chunk_done = (603, INFO_LEVEL, 'All items of a chunk have results.')
    chunk_lost = (
        604,
        WARNING_LEVEL,
        'A process lost a chunk to a newer owner.',
    )
    chunk_taken_over = (
        605,
        WARNING_LEVEL,
        'A process took over a chunk of a lost owner.',
    )
    item_suspect = (
        606,
        WARNING_LEVEL,
        'An item was running at a crash; it is run alone.',
    )
    batch_preempted = (
        607,
        INFO_LEVEL,
        'Batch work was preempted by online requests.',
    )
    chunk_failed = (608, ERROR_LEVEL, 'Work on a chunk stopped on an error.')
    chunk_not_opened = (
        609,
        INFO_LEVEL,
        'An offered chunk could not be claimed.',
    )
    job_ended = (610, INFO_LEVEL, 'A caller cancelled a batch job.')
    job_refused = (611, WARNING_LEVEL, 'A batch job was not accepted.')
    item_adopted = (
        612,
        INFO_LEVEL,
        'A process took on the items that were assigned to it.',
    )
    item_started = (613, INFO_LEVEL, 'A batch item started at the upstream.')
    item_paused = (
        614,
        INFO_LEVEL,
        'A batch item was paused for online requests.',
    )
    item_broken = (615, WARNING_LEVEL, 'A run of a batch item ended early.')
    item_held = (
        642,
        WARNING_LEVEL,
        'A batch item under which upstreams crashed waits until it is tried'
        ' again.',
    )
    item_tried = (
        643,
        INFO_LEVEL,
        'A batch item under which upstreams crashed may be tried, one run at a'
        ' time in the service.',
    )
    item_lease_lost = (
        648,
        WARNING_LEVEL,
        'The lease of a try of a batch item was not renewed.',
    )
    item_restarted = (
        639,
        INFO_LEVEL,
        'A batch item restarts: its upstream has another software version.',
    )
    run_restarted = (
        640,
        INFO_LEVEL,
        'A run of an item restarts: the engine has another fingerprint.',
    )
    item_done = (616, INFO_LEVEL, 'A batch item has its final state.')
    results_written = (617, INFO_LEVEL, 'Results of batch items are stored.')
    results_waiting = (618, WARNING_LEVEL, 'Results could not be written yet.')
    items_moved = (
        619,
        WARNING_LEVEL,
        'Items of a lost process were reassigned.',
    )
    items_offered = (
        634,
        INFO_LEVEL,
        'Items that would be late here were offered to another process.',
    )
    items_claimed = (
        635,
        INFO_LEVEL,
        'Items that another process offered were claimed, or refused.',
    )
    items_handed_over = (
        636,
        INFO_LEVEL,
        'Items were assigned to the process that had claimed them.',
    )
    items_not_handed_over = (
        637,
        WARNING_LEVEL,
        'Offered items were not handed over; they stay here.',
    )
    items_received = (
        638,
        INFO_LEVEL,
        'Items were taken over with the text that came with their offer.',
    )
    member_joined = (620, INFO_LEVEL, 'A process joined the job board.')
    member_left = (621, WARNING_LEVEL, 'A process left the job board.')
    disk_given_up = (
        622,
        WARNING_LEVEL,
        'A disk was away until none of its jobs has to be readable.',
    )
    assignment_unreadable = (623, ERROR_LEVEL, 'An assignment is invalid.')
    progress_unsaved = (
        624,
        WARNING_LEVEL,
        'Partial results of unfinished items were not stored.',
    )
    job_held = (
        625,
        INFO_LEVEL,
        'A job is on this disk until the store accepts it.',
    )
    job_unheld = (
        633,
        ERROR_LEVEL,
        'A disk failed to write a job; it is not confirmed there.',
    )
    job_dropped = (
        641,
        WARNING_LEVEL,
        'A copy of a job on this disk is dropped: the job was refused.',
    )
    job_handed_over = (626, INFO_LEVEL, 'A job on this disk is in the store.')
    job_unreadable = (
        627,
        ERROR_LEVEL,
        'The file of a job on this disk is incomplete.',
    )
    job_not_handed_over = (
        630,
        ERROR_LEVEL,
        'Handing over a job from this disk failed; it is tried again.',
    )
    job_rejected = (
        629,
        ERROR_LEVEL,
        'A job on this disk can never be written to the store; it stays there.',
    )
    job_removed = (
        628,
        INFO_LEVEL,
        'A job exceeded its retention time and is removed.',
    )
    retired = (622, INFO_LEVEL, 'A VM stores nothing that is still needed.')
    disk_opened = (700, INFO_LEVEL, 'A data folder is in use.')
    disk_refused = (
        701,
        WARNING_LEVEL,
        'A data folder refused a write: stale fence or another folder.',
    )
    journal_repaired = (
        702,
        WARNING_LEVEL,
        'An incomplete tail was truncated from a journal.',
    )
    copy_lost = (
        703,
        WARNING_LEVEL,
        'A copy of stored data cannot be reached or restored.',
    )
    copy_restored = (
        704,
        INFO_LEVEL,
        'A lost copy was restored on another folder.',
    )
    promise_broken = (900, ERROR_LEVEL, 'An invariant does not hold.')

    def __init__(self, number: int, level: str, meaning: str) -> None:
        """Unpack the value into attributes."""
        self.number = number
        self.level = level
        self.meaning = meaning
