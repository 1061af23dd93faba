"""Refusals that callers get when every attempt of a request failed."""

from __future__ import annotations

import io
import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from tests.builders import build_upstream
from wigeonpier.entry.forward import Forwarder, PendingRequest
from wigeonpier.entry.suspects import SuspectFilter
from wigeonpier.errors import Ran, Refusal
from wigeonpier.membership.directory import Directory, Member
from wigeonpier.membership.messages import Heartbeat, Role
from wigeonpier.membership.suspicions import Suspicions
from wigeonpier.policy.route import RoutingCriteria
from wigeonpier.telemetry.metrics import Metrics
from wigeonpier.web.client import CallFailure
from wigeonpier.web.messages import Request

FAILURES = st.lists(
    st.sampled_from(CallFailure),
    min_size=3,
    max_size=3,
)


class FailingClient:
    """Connections whose calls fail with the given failures, in order."""

    def __init__(self, failures: list[CallFailure]) -> None:
        self.failures = list(failures)
        self.returned: list[CallFailure] = []
        self.addresses: list[str] = []

    def open(self, address: str, *_details, **_options):
        self.addresses.append(address)
        self.returned.append(self.failures.pop(0))
        return Err(self.returned[-1])

    def call(self, *_details, **_options):
        """Fail every exchange of suspected requests."""
        return Err(CallFailure.lost)


def _make_directory(count: int) -> Directory:
    directory = Directory(time.monotonic, lambda _name: 'r')
    for number in range(count):
        name = f'vm-{number}'
        address = f'10.0.0.{number}:1'
        state = build_upstream(name, address=address)
        directory.upstreams[name] = state
        heartbeat = Heartbeat(
            name=name,
            boot='b',
            role=Role.local,
            address=address,
            data_centre='a',
            is_leaving=False,
            version=1,
        )
        directory.members[name] = Member(heartbeat, time.monotonic())
    return directory


def _make_request(*, is_idempotent: bool) -> PendingRequest:
    request = Request('POST', '/x', '', {}, io.BytesIO(), identity='r-1')
    return PendingRequest(
        request,
        '/x',
        b'',
        RoutingCriteria('s', 'm', '', 'a', 'r'),
        is_idempotent,
        time.monotonic() + 60,
    )


@given(FAILURES, st.booleans(), st.integers(1, 3))
def test_refusal_reports_the_outcome_of_all_attempts(
    failures, is_idempotent, count
) -> None:
    client = FailingClient(failures)
    forwarder = Forwarder(
        _make_directory(count),
        client,
        Metrics(),
        random.Random(1),
        SuspectFilter(Suspicions(), client),
    )
    pending = _make_request(is_idempotent=is_idempotent)
    with pytest.raises(Refusal) as caught:
        forwarder.send(pending)
    may_have_run = CallFailure.lost in client.returned
    assert (caught.value.ran is Ran.unknown) == may_have_run
    assert len(set(client.addresses)) == len(client.addresses)
    if not is_idempotent:
        assert client.returned.count(CallFailure.lost) <= 1
        assert CallFailure.lost not in client.returned[:-1]
    assert all(
        state.in_flight == 0 for state in forwarder.directory.upstreams.values()
    )
