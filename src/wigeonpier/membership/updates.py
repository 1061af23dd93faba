"""Messages between processes about suspected requests."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence


class CrashReport(msgspec.Struct, frozen=True):
    """Reports an upstream that crashed while a request ran there.

    :param fingerprint: the request.
    :param upstream: start of the upstream.
    :param version: version of its software.
    :param age: how long ago it crashed, seconds.
    :param was_alone: whether no other suspected request ran there.
    :param had_output: whether its run there had produced events.
    :param is_item: whether it was a run of a batch item; a process of an
        earlier build does not read it.
    """

    fingerprint: str
    upstream: str
    version: str
    age: float
    was_alone: bool
    had_output: bool = False
    is_item: bool = False


class LostRunReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reports a run that was lost in a crash, with the parts of its prompt.

    :param request: start of the fingerprint of the request.
    :param parts: keys of the shared parts of its prompt, in order.
    :param upstream: start of the upstream.
    :param version: version of its software.
    :param age: how long ago it crashed, seconds.
    :param was_alone: whether no other suspected request ran there.
    :param had_output: whether the run had produced events.
    """

    request: str
    parts: tuple[str, ...]
    upstream: str
    version: str
    age: float
    was_alone: bool = False
    had_output: bool = False


class PartProof(msgspec.Struct, frozen=True):
    """Reports a completed run of a request with a part.

    :param part: key of the part.
    :param version: software version of the upstream.
    :param age: how long ago the run began, seconds.
    """

    part: str
    version: str
    age: float


class CulpritReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reports parts that crash upstreams.

    :param name: digest of the parts that were blamed at first.
    :param parts: keys of the parts that are blamed now.
    :param versions: software versions that crashed under them.
    :param is_despite_proof: whether runs with them had completed before.
    """

    name: str
    parts: tuple[str, ...]
    versions: tuple[str, ...]
    is_despite_proof: bool = False


class PartUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of the suspected parts of prompts.

    :param lost: runs that were lost in crashes.
    :param proofs: completed runs.
    :param culprits: parts confirmed to crash upstreams.
    :param kept: names of culprits with which requests were sent just now.
    :param lifted: names of culprits that an operator has lifted.
    """

    lost: tuple[LostRunReport, ...] = ()
    proofs: tuple[PartProof, ...] = ()
    culprits: tuple[CulpritReport, ...] = ()
    kept: tuple[str, ...] = ()
    lifted: tuple[str, ...] = ()


NO_PARTS = PartUpdate()


class SuspicionUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of the suspected requests.

    :param ends: crashes of upstreams.
    :param cleared: requests that are no longer suspected.
    :param kept: refused requests that were sent again just now.
    :param condemned: requests confirmed to crash upstreams.
    :param parts: changes of the suspected parts of prompts; a process of an
        earlier build neither sends nor reads them.
    :param released: trials that have ended at the worker that it is sent to.
    """

    ends: tuple[CrashReport, ...] = ()
    cleared: tuple[str, ...] = ()
    kept: tuple[str, ...] = ()
    condemned: tuple[str, ...] = ()
    parts: PartUpdate = NO_PARTS
    released: tuple[str, ...] = ()


def combine_updates(updates: Sequence[SuspicionUpdate]) -> SuspicionUpdate:
    """Combine updates into one.

    :param updates: the updates, in order.
    :returns: all changes.
    """
    parts = [update.parts for update in updates]
    return SuspicionUpdate(
        tuple(chain.from_iterable(one.ends for one in updates)),
        tuple(chain.from_iterable(one.cleared for one in updates)),
        tuple(chain.from_iterable(one.kept for one in updates)),
        tuple(chain.from_iterable(one.condemned for one in updates)),
        PartUpdate(
            tuple(chain.from_iterable(one.lost for one in parts)),
            tuple(chain.from_iterable(one.proofs for one in parts)),
            tuple(chain.from_iterable(one.culprits for one in parts)),
            tuple(chain.from_iterable(one.kept for one in parts)),
            tuple(chain.from_iterable(one.lifted for one in parts)),
        ),
    )


def add_age(
    crashes: Iterable[CrashReport], seconds: float
) -> Iterator[CrashReport]:
    """Add the time for which reports were stored to their ages.

    :param crashes: the reports.
    :param seconds: the time.
    :returns: reports with the ages that they have now.
    """
    return (
        msgspec.structs.replace(crash, age=crash.age + seconds)
        for crash in crashes
    )


def add_part_age(update: PartUpdate, seconds: float) -> PartUpdate:
    """Add the time for which an update was stored to its ages.

    :param update: the update.
    :param seconds: the time.
    :returns: the update with the ages that it has now.
    """
    if update == NO_PARTS:
        return NO_PARTS
    return msgspec.structs.replace(
        update,
        lost=tuple(
            msgspec.structs.replace(run, age=run.age + seconds)
            for run in update.lost
        ),
        proofs=tuple(
            msgspec.structs.replace(proof, age=proof.age + seconds)
            for proof in update.proofs
        ),
    )
