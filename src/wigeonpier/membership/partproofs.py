"""Keeps the parts of prompts that completed runs have proven sound.

A process notes the runs that it sees.  It reports one only once a run with
the same part was lost somewhere, so that nothing is sent while no upstream
crashes.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from itertools import product
from typing import TYPE_CHECKING

from wigeonpier.membership.updates import (
    CulpritReport,
    LostRunReport,
    PartProof,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wigeonpier.policy.promptparts import LostRun

    # Part and software version.
    ProofKey = tuple[str, str]

# Some 250 bytes each: the parts of one entry in an hour at 100 new ones a
# minute.
MAX_PROOFS = 8192
# Proofs that are recognised when they are received again.
MAX_REPORTED = 4096
# Proofs that are sent to a process that starts.
MAX_DESCRIBED = 256
# A later run of the same part is reported again after this time.
REPORT_INTERVAL_SECONDS = 0.5
AGE_DIGITS = 3


class PartProofs:
    """When the last completed run with a part began, by part and version."""

    def __init__(self) -> None:
        """Start without proofs."""
        self._noted: OrderedDict[ProofKey, float] = OrderedDict()
        # Proofs that were sent or received.
        self._reported: OrderedDict[ProofKey, float] = OrderedDict()
        # When proofs were last sent with lost runs.
        self._sent: dict[ProofKey, float] = {}
        # When proofs were reported since another process blamed their part.
        self._objected: dict[ProofKey, float] = {}

    def find(self, part: str, version: str) -> float | None:
        """Find when the last completed run with a part began.

        :param part: key of the part.
        :param version: software version of the upstream.
        :returns: seconds of the monotonic clock, ``None`` if there was none.
        """
        return self._noted.get((part, version))

    def note(self, part: str, version: str, at: float) -> None:
        """Note a completed run.

        :param part: key of the part.
        :param version: software version of the upstream.
        :param at: when it began, seconds of the monotonic clock.
        """
        key = (part, version)
        self._noted[key] = max(at, self._noted.get(key, at))
        self._noted.move_to_end(key)
        while len(self._noted) > MAX_PROOFS:
            dropped, _at = self._noted.popitem(last=False)
            self._sent.pop(dropped, None)
            self._objected.pop(dropped, None)

    def note_all(self, parts: Iterable[str], version: str, at: float) -> None:
        """Note a completed run of a request with several parts.

        :param parts: keys of the parts.
        :param version: software version of the upstream.
        :param at: when it began, seconds of the monotonic clock.
        """
        for part in parts:
            self.note(part, version, at)

    def add(self, proof: PartProof, now: float) -> bool:
        """Note a run that was reported.

        :param proof: the report.
        :param now: seconds of the monotonic clock.
        :returns: whether it is new.
        """
        key = (proof.part, proof.version)
        at = now - proof.age
        known_at = self._reported.get(key)
        if known_at is not None and at < known_at + REPORT_INTERVAL_SECONDS:
            return False
        self.note(proof.part, proof.version, at)
        self._sent[key] = now
        self._record_report(key, at)
        return True

    def list_for_runs(
        self, lost: Iterable[LostRunReport], now: float
    ) -> Iterator[PartProof]:
        """List the proofs of this process that reports of lost runs carry.

        A message may be lost, so later runs carry them as well.

        :param lost: runs with parts that may be sound.
        :param now: seconds of the monotonic clock.
        :yields: proofs of these parts, unless they were sent just now.
        """
        keys = {(part, run.version) for run in lost for part in run.parts}
        for key in sorted(keys):
            at = self._noted.get(key)
            sent_at = self._sent.get(key, -math.inf)
            if at is None or now - sent_at < REPORT_INTERVAL_SECONDS:
                continue
            self._sent[key] = now
            self._record_report(key, at)
            yield PartProof(*key, round(now - at, AGE_DIGITS))

    def refutes(self, culprit: CulpritReport) -> bool:
        """Check whether all parts of a culprit are known to be sound.

        :param culprit: what another process has confirmed.
        :returns: true if that process has missed the proofs.
        """
        return not culprit.is_despite_proof and all(
            key in self._noted for key in _list_keys(culprit)
        )

    def list_objections(
        self, culprit: CulpritReport, now: float
    ) -> Iterator[PartProof]:
        """List the proofs of parts that another process blames.

        :param culprit: what that process has confirmed.
        :param now: seconds of the monotonic clock.
        :yields: proofs, unless they were listed just now.
        """
        if culprit.is_despite_proof:
            return
        for key in _list_keys(culprit):
            at = self._noted.get(key)
            objected_at = self._objected.get(key, -math.inf)
            if at is None or now - objected_at < REPORT_INTERVAL_SECONDS:
                continue
            self._objected[key] = now
            self._record_report(key, at)
            yield PartProof(*key, round(now - at, AGE_DIGITS))

    def list_known(
        self, runs: Iterable[LostRun], now: float, limit: int
    ) -> Iterator[PartProof]:
        """List the proofs of parts for a process that may have none.

        :param runs: lost runs that are reported to the process.
        :param now: seconds of the monotonic clock.
        :param limit: maximum number.
        :yields: proofs of their parts.
        """
        keys = {(part, run.version) for run in runs for part in run.parts}
        known = sorted(key for key in keys if key in self._noted)
        for key in known[:limit]:
            yield PartProof(*key, round(now - self._noted[key], AGE_DIGITS))

    def _record_report(self, key: ProofKey, at: float) -> None:
        self._reported[key] = at
        self._reported.move_to_end(key)
        while len(self._reported) > MAX_REPORTED:
            self._reported.popitem(last=False)


def _list_keys(culprit: CulpritReport) -> list[ProofKey]:
    return list(product(culprit.parts, culprit.versions))
