"""Names jobs so that a customer finds only its own.

Addresses a caller that requests the job of another customer.  The lookup uses
a name that only the caller's own jobs can have, so that neither the answer nor
its time reveals anything.  Two customers may also give the same id to their
jobs.
"""

from __future__ import annotations

import hashlib
import re

# Names are used in keys of the store, paths and files.
PLAIN_NAME = re.compile('[A-Za-z0-9_-]{1,64}')
DIGEST_BYTES = 16
# Not part of any plain name, so that the first one ends the customer's name.
SEPARATOR = '~'


def scope_job(customer: str, job: str) -> str:
    """Name a job of a customer.

    :param customer: its customer, empty for a caller that needs no key.
    :param job: id that the caller gave.
    :returns: the internal id; the caller's own where no key is needed, unless
        it could be taken for that of a customer.
    """
    if customer:
        return f'{_make_plain(customer)}{SEPARATOR}{job}'
    if SEPARATOR in job:
        return f'{SEPARATOR}{job}'
    return job


def _make_plain(customer: str) -> str:
    if PLAIN_NAME.fullmatch(customer):
        return customer
    digest = hashlib.blake2b(customer.encode(), digest_size=DIGEST_BYTES)
    return f'{digest.hexdigest()}-digest'
