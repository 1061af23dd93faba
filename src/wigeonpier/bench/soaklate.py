"""Late effects in the fault soak: repeated answers and delayed writes."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wigeonpier.bench.soaksite import SoakSite

REPEATED_ANSWERS = 10
REFUSED_REQUESTS = 5
LATE_WRITES = 2
LATE_SECONDS = (1.0, 6.0)


def list_late_faults(
    site: SoakSite, rng: random.Random
) -> list[tuple[str, Callable[[], None]]]:
    """List the faults whose effects come late.

    :param site: site under test.
    :param rng: chooses replicas and delays.
    :returns: name and function that injects the fault once; none if the site
        has no such faults.
    """
    if not site.has_late_effects:
        return []
    return [
        ('answers repeated', partial(_repeat_answers, site, rng)),
        ('store writes late', partial(_delay_writes, site, rng)),
    ]


def _repeat_answers(site: SoakSite, rng: random.Random) -> None:
    """Repeat some answers late, refusals among them."""
    faults = rng.choice(site.replicas).faults
    faults.late.remaining += REPEATED_ANSWERS
    faults.turn_away += REFUSED_REQUESTS


def _delay_writes(site: SoakSite, rng: random.Random) -> None:
    """Execute writes of the store seconds later, without an answer."""
    faults = site.store.faults
    faults.late_seconds = rng.uniform(*LATE_SECONDS)
    faults.late_writes += LATE_WRITES
