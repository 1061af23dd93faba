"""Names of the keys that the hosted daemons keep in the store."""

from __future__ import annotations

HOSTED = 'wigeonpier/hosted/'
# One read covers the jobs with items left and the processes that run them.
BOARD = f'{HOSTED}board/'
OPEN_JOBS = f'{BOARD}jobs/'
MEMBERS = f'{BOARD}members/'
DISKS = f'{BOARD}disks/'
# Each process watches its own assignments only, so that a job wakes those
# who run it and nobody else.
ASSIGNMENTS = f'{HOSTED}work/'
PROGRESS = f'{HOSTED}progress/'
# Small keys that tell how old a job is, so that old ones are found cheaply.
AGES = f'{HOSTED}ages/'
RECORDS = f'{HOSTED}records/'
ITEM_RESULTS = f'{HOSTED}results/'


def name_open_job(job: str) -> str:
    """Name the key that stands while a job has items left.

    :param job: id of the job.
    :returns: the key.
    """
    return f'{OPEN_JOBS}{job}'


def name_member(vm: str) -> str:
    """Name the key of a process that runs items.

    :param vm: name of its VM.
    :returns: the key.
    """
    return f'{MEMBERS}{vm}'


def name_disk(vm: str) -> str:
    """Name the key of a process that keeps jobs on a disk.

    :param vm: name of its VM.
    :returns: the key.
    """
    return f'{DISKS}{vm}'


def name_assignments(vm: str) -> str:
    """Name the prefix of what a process runs.

    :param vm: name of its VM.
    :returns: the prefix.
    """
    return f'{ASSIGNMENTS}{vm}/'


def name_assignment(vm: str, job: str) -> str:
    """Name the key of the items of one job that a process runs.

    :param vm: name of its VM.
    :param job: id of the job.
    :returns: the key.
    """
    return f'{name_assignments(vm)}{job}'


def parse_assignment(key: str) -> tuple[str, str]:
    """Take the key of an assignment apart.

    :param key: key that :func:`name_assignment` made.
    :returns: name of the VM and id of the job.
    """
    vm, _slash, job = key.removeprefix(ASSIGNMENTS).partition('/')
    return vm, job


def name_age(job: str) -> str:
    """Name the key that tells how old a job is.

    :param job: id of the job.
    :returns: the key.
    """
    return f'{AGES}{job}'


def name_all_progress(job: str) -> str:
    """Name the prefix of the texts of a job's unfinished items.

    :param job: id of the job.
    :returns: the prefix.
    """
    return f'{PROGRESS}{job}/'


def name_progress(job: str, index: int) -> str:
    """Name the key of the text that an unfinished item has so far.

    :param job: id of the job.
    :param index: position of the item in the job.
    :returns: the key.
    """
    return f'{name_all_progress(job)}{index}'


def name_record(job: str) -> str:
    """Name the key that holds a job's head.

    :param job: id of the job.
    :returns: the key.
    """
    return f'{RECORDS}{job}'


def name_record_parts(job: str) -> str:
    """Name the prefix of the keys that hold the items of a job.

    :param job: id of the job.
    :returns: the prefix.
    """
    return f'{RECORDS}{job}/'


def name_record_part(job: str, number: int) -> str:
    """Name the key that holds some items of a job.

    :param job: id of the job.
    :param number: number of the part.
    :returns: the key.
    """
    return f'{name_record_parts(job)}{number}'


def name_item_results(job: str) -> str:
    """Name the prefix of all results of a job.

    :param job: id of the job.
    :returns: the prefix.
    """
    return f'{ITEM_RESULTS}{job}/'


def name_item_result(job: str, index: int) -> str:
    """Name the key of one result.

    :param job: id of the job.
    :param index: position of the item in the job.
    :returns: the key.
    """
    return f'{name_item_results(job)}{index}'


def parse_item_result(key: str) -> int:
    """Take the key of a result apart.

    :param key: key that :func:`name_item_result` made.
    :returns: position of the item in the job.
    """
    return int(key.rpartition('/')[2])
