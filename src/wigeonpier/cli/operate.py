"""Sub-commands for fleet, jobs, usage, drains and keys."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import msgspec

from wigeonpier.batch.models import BatchPage, JobStatus
from wigeonpier.cli.calls import (
    add_connection,
    call_admin,
    write_line,
    write_table,
)
from wigeonpier.entry.admin import MemberPage, UsagePage
from wigeonpier.membership.directory import SILENT_SECONDS
from wigeonpier.settings.deployment import hash_key

if TYPE_CHECKING:
    import argparse

KEY_BYTES = 24
WATCH_SECONDS = 1.0
BAR_WIDTH = 30
FINISHED_STATUSES = frozenset((JobStatus.completed, JobStatus.cancelled))


def add_fleet(parser: argparse.ArgumentParser) -> None:
    """Declare ``fleet``.

    :param parser: parser of the sub-command.
    """
    add_connection(parser)
    parser.set_defaults(run=show_fleet)


def add_jobs(parser: argparse.ArgumentParser) -> None:
    """Declare ``jobs``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument('action', choices=('list', 'watch', 'cancel'))
    parser.add_argument('customer', nargs='?', help='for cancel')
    parser.add_argument('job', nargs='?', help='for cancel')
    add_connection(parser)
    parser.set_defaults(run=run_jobs)


def add_usage(parser: argparse.ArgumentParser) -> None:
    """Declare ``usage``.

    :param parser: parser of the sub-command.
    """
    add_connection(parser)
    parser.set_defaults(run=show_usage)


def add_drain(parser: argparse.ArgumentParser) -> None:
    """Declare ``drain``.

    :param parser: parser of the sub-command.
    """
    parser.add_argument('vm', help='name of the VM')
    parser.add_argument(
        '--undo', action='store_true', help='resume giving it new work'
    )
    add_connection(parser)
    parser.set_defaults(run=run_drain)


def add_key(parser: argparse.ArgumentParser) -> None:
    """Declare ``key``.

    :param parser: parser of the sub-command.
    """
    parser.set_defaults(run=make_key)


def show_fleet(parsed: argparse.Namespace) -> int:
    """List the processes that are known to an entry.

    :param parsed: options.
    :returns: exit status.
    """
    raw = call_admin(parsed, 'GET', 'fleet')
    if parsed.json:
        write_line(raw.decode())
        return 0
    members = msgspec.json.decode(raw, type=list[MemberPage])
    write_table(
        ('vm', 'role', 'data_centre', 'config', 'state', 'online', 'batch'),
        [
            (
                member.name,
                member.role.value,
                member.data_centre,
                member.version,
                _describe_state(member),
                f'{member.online}/{member.slots}' if member.service else '-',
                member.batch if member.service else '-',
            )
            for member in members
        ],
    )
    return 0


def run_jobs(parsed: argparse.Namespace) -> int:
    """List, watch or cancel jobs.

    :param parsed: options.
    :returns: exit status.
    """
    if parsed.action == 'cancel':
        path = f'jobs/{parsed.customer}/{parsed.job}/cancel'
        write_line(call_admin(parsed, 'POST', path).decode())
        return 0
    while True:
        raw = call_admin(parsed, 'GET', 'jobs')
        jobs = msgspec.json.decode(raw, type=list[BatchPage])
        if parsed.json:
            write_line(raw.decode())
        else:
            _write_jobs(jobs)
        are_finished = all(job.status in FINISHED_STATUSES for job in jobs)
        if parsed.action == 'list' or are_finished:
            return 0
        time.sleep(WATCH_SECONDS)


def show_usage(parsed: argparse.Namespace) -> int:
    """Show the totals of stored results per customer.

    :param parsed: options.
    :returns: exit status.
    """
    raw = call_admin(parsed, 'GET', 'usage')
    if parsed.json:
        write_line(raw.decode())
        return 0
    pages = msgspec.json.decode(raw, type=list[UsagePage])
    write_table(
        ('customer', 'jobs', 'succeeded', 'prompt tokens', 'answer tokens'),
        [
            (
                page.customer,
                page.jobs,
                page.tally.succeeded,
                page.tally.prompt_tokens,
                page.tally.answer_tokens,
            )
            for page in pages
        ],
    )
    return 0


def run_drain(parsed: argparse.Namespace) -> int:
    """Stop giving a VM new work, or resume it.

    :param parsed: options.
    :returns: exit status.
    """
    method = 'DELETE' if parsed.undo else 'POST'
    raw = call_admin(parsed, method, f'drains/{parsed.vm}')
    write_line(f'drained: {raw.decode()}')
    return 0


def make_key(_parsed: argparse.Namespace) -> int:
    """Generate a customer key and print it with its hash.

    :param _parsed: options, not used.
    :returns: exit status.
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    write_line(f'key       {key}')
    write_line(f'key_hash  {hash_key(key)}')
    return 0


def _describe_state(member: MemberPage) -> str:
    if member.is_leaving:
        return 'leaving'
    if member.silent_seconds > SILENT_SECONDS:
        seconds = round(member.silent_seconds)
        return f'silent {seconds} s'
    return 'live'


def _write_jobs(jobs: list[BatchPage]) -> None:
    write_table(
        ('batch', 'status', 'progress', 'done', 'failed', 'items'),
        [
            (
                job.id,
                job.status.value,
                _render_bar(job),
                job.request_counts.completed,
                job.request_counts.failed,
                job.request_counts.total,
            )
            for job in jobs
        ],
    )


def _render_bar(job: BatchPage) -> str:
    counts = job.request_counts
    fraction = (counts.completed + counts.failed) / max(1, counts.total)
    filled = '#' * round(fraction * BAR_WIDTH)
    return filled.ljust(BAR_WIDTH, '.')
