"""What workers report of their upstreams beside the load.

A process of an earlier build sends none of it and ignores what it receives.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class UpstreamPace(msgspec.Struct, frozen=True, omit_defaults=True):
    """How fast an upstream works, as its worker has measured.

    :param event_seconds: baseline time of one output token of a run, seconds;
        0 where it is not known yet.  An event has several tokens, a number
        that depends on the service: only the ratio to the other upstreams of
        the same service is compared.
    :param slowdown: factor by which work takes longer at this moment, 1 for
        as usual.
    """

    event_seconds: float
    slowdown: float = 1


class HealthState(StrEnum):
    """What the outcomes of requests show of an upstream."""

    healthy = 'healthy'
    ejected = 'ejected'
    on_trial = 'on_trial'


class UpstreamHealth(msgspec.Struct, frozen=True, omit_defaults=True):
    """Health of an upstream by the outcomes that entries reported.

    :param state: ``ejected`` if it gets no requests, ``on_trial`` if it gets
        single requests that may be repeated.
    :param reason: outcomes that led to the state, for the log.
    :param incarnation: start that it applies to, 0 where it is unknown.
    """

    state: HealthState
    reason: str = ''
    incarnation: int = 0


class ItemBacklog(msgspec.Struct, frozen=True, omit_defaults=True):
    """Batch items at a worker, for the placement of other items.

    :param vm: name of the worker's VM.
    :param run_seconds: how long a whole item runs there, 0 where too few have
        completed to know.
    :param waiting_seconds: time after which an item that is assigned now
        starts.
    :param late: items that cannot complete there when they are due.
    """

    vm: str
    run_seconds: float
    waiting_seconds: float = 0
    late: int = 0
