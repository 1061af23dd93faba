"""Decides how soon a process probes a lost store, and what it still relies on.

Addresses an isolation of a process, or an outage of the store, that ends a
moment before upstreams leave.  From then on the site allows one time,
``contact``, in which the process may act on its previous knowledge; noticing
the end of the outage, reading again and keeping missing entries share it.
When views used pauses of their own, they were blind for 0.8 s after an
isolation and kept an upstream that had left for 2.4 s more, 0.2 s longer than
allowed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wigeonpier.models import Bounds

# Share of the time for probing: one call without an answer and the pause after
# it, so that a process is blind for 0.5 s where 3 s are allowed.
BLIND_SHARE = 1 / 6
# Share of the blind time that a call may wait.  Opening a connection takes a
# few ms, and a store that is slow by a factor of 80 answers within 0.35 s, so
# that the views' own calls, with longer timeouts, reach it.
CALL_SHARE = 0.6
# Share of the time for the read itself and for upstreams chosen just before it.
MARGIN_SHARE = BLIND_SHARE / 2
# The platform writes entries that expired during an outage of its store again
# within about two seconds of its return.
REWRITE_SECONDS = 2.2
# Entries expire after some seconds without the store.  A single call that was
# refused or lost takes less, and must not delay the removal of an upstream.
MIN_OUTAGE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class OutagePlan:
    """Times of a process that lost the store, in seconds.

    :param call: timeout of one probe of the store.
    :param pause: from the end of a probe to the next one.
    :param keep: how long entries that are missing after an outage are expected
        to be written again.
    """

    call: float
    pause: float
    keep: float

    @property
    def max_blind_seconds(self) -> float:
        """Return the longest time from the end of an outage to an answer."""
        return self.call + self.pause


def plan_outage(bounds: Bounds) -> OutagePlan:
    """Derive the times from those that the site allows.

    :param bounds: times that the site guarantees.
    :returns: the plan; its times together fit into the time allowed.
    """
    blind = bounds.contact * BLIND_SHARE
    margin = bounds.contact * MARGIN_SHARE
    return OutagePlan(
        call=blind * CALL_SHARE,
        pause=blind * (1 - CALL_SHARE),
        keep=min(REWRITE_SECONDS, bounds.contact - blind - margin),
    )


def is_view_outdated(since_replaced: float) -> bool:
    """Check whether missing upstreams have most probably restarted already.

    After a power loss, replicas run before their entries are written: of 70
    requests that were refused after one, 64 had met four replicas in a row that
    had another id.

    :param since_replaced: seconds since an upstream reported another start than
        the known one.
    :returns: true where entries of the register are worth waiting for.
    """
    return since_replaced < REWRITE_SECONDS


def may_have_expired(lost_seconds: float) -> bool:
    """Check whether entries may have expired though their replicas are healthy.

    :param lost_seconds: from the start of the first failed call to the first
        answer after it.
    :returns: true where missing entries should be waited for.
    """
    return lost_seconds >= MIN_OUTAGE_SECONDS
