"""Names of the keys that the hosted daemons write to the store."""

from __future__ import annotations

HOSTED = 'wigeonpier/hosted/'
# One read covers the open jobs and the processes that run their items.
BOARD = f'{HOSTED}board/'
# By id of the job.
OPEN_JOBS = f'{BOARD}jobs/'
# By name of the VM.
MEMBERS = f'{BOARD}members/'
DISKS = f'{BOARD}disks/'
# By name of the VM: disks that may hold jobs, also while their process is away.
HOMES = f'{BOARD}homes/'
# By fingerprint: requests that crash the upstreams that run them.  Part of
# the board, which each process reads at its start.
REFUSED = f'{BOARD}refused/'
# By job: refused attempts to accept it.  Part of the board, which is read before
# a job is written.
FENCES = f'{BOARD}fences/'
# By digest of what runs exclude each other by.  Under the lease of the worker
# that tries an item, so that one runs at a time in the fleet.
TRIALS = f'{HOSTED}trials/'
# By VM and job.  Each process watches its own assignments only, so that a job
# wakes only the processes that run it.
ASSIGNMENTS = f'{HOSTED}work/'
# By job and position of the item.
PROGRESS = f'{HOSTED}progress/'
# By job and position of the item.  The head of the job has the same prefix,
# so that a process that has not read the job yet needs only one call.
RESULTS = f'{HOSTED}results/'
HEAD = 'head'
# By name of the VM and digest of the version: software versions that serve, or
# have served lately, under a lease that outlives their process.
VERSIONS = f'{HOSTED}versions/'
# By job, position of the item, digest of the output and number of the part:
# outputs that are longer than a value.
OUTPUTS = f'{HOSTED}outputs/'
# By job and number of the part.
ITEMS = f'{HOSTED}items/'
# By job.  Small keys with the time at which a job was sent, so that old jobs
# are found without reading them.
AGES = f'{HOSTED}ages/'


def name_key(space: str, *parts: object) -> str:
    """Name a key.

    :param space: one of the spaces above.
    :param parts: components of the key, as listed at the space.
    :returns: the key.
    """
    return space + '/'.join(map(str, parts))


def name_prefix(space: str, *parts: object) -> str:
    """Name the prefix of all keys with the same first components.

    :param space: one of the spaces above.
    :param parts: first components of the keys.
    :returns: the prefix.
    """
    return f'{name_key(space, *parts)}/'


def parse_assignment(key: str) -> tuple[str, str]:
    """Parse the key of an assignment.

    :param key: its name.
    :returns: name of the VM and id of the job.
    """
    vm, _slash, job = key.removeprefix(ASSIGNMENTS).partition('/')
    return vm, job


def parse_index(key: str) -> int:
    """Parse the key of a result or of an item's progress.

    The head of a job, which :func:`is_head` recognizes, has no position.

    :param key: its name.
    :returns: position of the item in the job.
    """
    return int(key.rpartition('/')[2])


def name_head(job: str) -> str:
    """Name the key of a job's head, which exists once the job is accepted.

    :param job: id of the job.
    :returns: the key.
    """
    return name_key(RESULTS, job, HEAD)


def is_head(key: str) -> bool:
    """Tell whether a key is the head of a job and not a result.

    :param key: a key under the prefix of the job's results.
    :returns: true for the head.
    """
    return key.rpartition('/')[2] == HEAD
