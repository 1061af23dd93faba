"""What processes that start later learn of items and parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import wait_for
from wigeonpier.bench.store import StandInStore
from wigeonpier.hosted.quarantine.store import QuarantineStore
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.membership.updates import CrashReport, SuspicionUpdate
from wigeonpier.platform import storekeys
from wigeonpier.platform.store import KeyValueStore
from wigeonpier.policy.itemretry import OWN_CONTENT_PACE, compute_next_try
from wigeonpier.policy.suspicion import needs_pauses
from wigeonpier.policy.watchplan import plan_watches
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterator

ITEM = '0' * 32
# Ages of crashes that ended two tries after pauses.
AGES = (40.0, 39.0, 38.0, 30.0, 12.0)


@pytest.fixture
def store() -> Iterator[StandInStore]:
    """Start a store."""
    made = StandInStore()
    yield made
    made.stop()


def make_report(number: int, age: float) -> CrashReport:
    """Make the report of a crash under the item."""
    return CrashReport(
        ITEM, f'i-{number}', 'v1', age, was_alone=True, is_item=True
    )


def test_a_process_that_starts_knows_the_pause_of_an_item(
    store: StandInStore,
) -> None:
    """It tried the item at once, and the upstream crashed."""
    client = KeyValueStore(
        ConnectionPool(), store.start(), Metrics(), plan_watches(3, 20)
    )
    known = Suspicions()
    known.merge(
        SuspicionUpdate(
            ends=tuple(
                make_report(number, age) for number, age in enumerate(AGES)
            )
        )
    )
    quarantine = QuarantineStore(client, known, gevent.sleep)
    quarantine.record(ITEM)
    key = storekeys.name_key(storekeys.REFUSED, ITEM)
    wait_for(lambda: store.list_keys(key), 'the store has the item')
    started = Suspicions()
    QuarantineStore(client, started, gevent.sleep).read()
    assert not started.is_refused(ITEM)
    assert needs_pauses(started.suspects[ITEM])
    assert compute_pause(started) == pytest.approx(
        compute_pause(known), abs=0.1
    )
    quarantine.forget(ITEM)
    assert not store.list_keys(key)


def compute_pause(suspicions: Suspicions) -> float:
    """Compute when the item may be tried."""
    crashes = [crash.at for crash in suspicions.suspects[ITEM].crashes]
    return compute_next_try(crashes, OWN_CONTENT_PACE)
