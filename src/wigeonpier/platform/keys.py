"""Names of the keys that the system stores in the key-value service."""

from __future__ import annotations

CONFIGURATION = 'wigeonpier/configuration'
HISTORY = 'wigeonpier/history/'
JOBS = 'wigeonpier/jobs/'
CHUNKS = 'wigeonpier/chunks/'
RESULTS = 'wigeonpier/results/'
FILES = 'wigeonpier/files/'
RESENDS = 'wigeonpier/resends/'
INDEX_DIGITS = 6


def name_job(customer: str, job: str) -> str:
    """Name the key of a job that is not finished.

    :param customer: name of the customer that owns the job.
    :param job: id of the job.
    :returns: the key.
    """
    return f'{JOBS}{customer}/{job}'


def name_results(customer: str, job: str) -> str:
    """Name the key of a finished job.

    :param customer: name of the customer that owns the job.
    :param job: id of the job.
    :returns: the key.
    """
    return f'{RESULTS}{customer}/{job}'


def name_file(customer: str, file_id: str) -> str:
    """Name the key of an uploaded file.

    :param customer: name of the customer that owns the file.
    :param file_id: id of the file.
    :returns: the key.
    """
    return f'{FILES}{customer}/{file_id}'


def name_resend(customer: str, digest: str) -> str:
    """Name the key by which resends of a job are recognized.

    :param customer: name of the customer that sent it.
    :param digest: digest of the idempotency key, or of the request.
    :returns: the key.
    """
    return f'{RESENDS}{customer}/{digest}'


def name_claims(job: str) -> str:
    """Name the prefix of all claims of a job.

    :param job: id of the job.
    :returns: the prefix.
    """
    return f'{CHUNKS}{job}/'


def name_chunk(job: str, index: int) -> str:
    """Name the key of a chunk's claim.

    :param job: id of the job.
    :param index: position of the chunk in the job.
    :returns: the key; keys of one job sort by index.
    """
    digits = str(index).zfill(INDEX_DIGITS)
    return f'{name_claims(job)}{digits}'


def parse_chunk(key: str) -> tuple[str, int]:
    """Parse the key of a chunk's claim.

    :param key: key that :func:`name_chunk` made.
    :returns: job id and index.
    """
    job, index = key.removeprefix(CHUNKS).split('/')
    return job, int(index)
