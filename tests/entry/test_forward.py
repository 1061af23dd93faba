"""Refusals that callers get when every attempt of a request failed."""

from __future__ import annotations

import io
import random
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from tests.builders import build_upstream
from tests.streamedreply import StreamedReply
from wigeonpier.entry import senttext
from wigeonpier.entry.forward import Forwarder
from wigeonpier.entry.pending import PendingRequest
from wigeonpier.entry.senttext import SentText
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


class StreamingClient:
    """Connections to engines that break off after two tokens."""

    def __init__(self, versions: dict[str, str]) -> None:
        """Set the fingerprint of each engine by address."""
        self.versions = versions
        self.bodies: list[bytes] = []

    def open(self, address: str, _method, _path, body: bytes, **_options):
        self.bodies.append(body)
        is_first = len(self.bodies) == 1
        return Ok(StreamedReply(self.versions[address], is_whole=not is_first))

    def call(self, *_details, **_options):
        """Fail every exchange of suspected requests."""
        return Err(CallFailure.lost)


def _read_stream(
    versions: list[str], seed: int, known: bool = False
) -> tuple[str, list[bytes]]:
    """Stream from engines, the first of which breaks off.

    :param known: whether earlier streams have shown the versions.
    :returns: version that began the stream, and the data of all its lines.
    """
    addresses = [f'10.0.0.{number}:1' for number in range(len(versions))]
    client = StreamingClient(dict(zip(addresses, versions, strict=True)))
    forwarder = Forwarder(
        _make_directory(len(versions)),
        client,
        Metrics(),
        random.Random(seed),
        SuspectFilter(Suspicions(), client),
    )
    for state in forwarder.directory.list_upstreams():
        state.version = client.versions[state.address] if known else ''
    pending = _make_request(is_idempotent=True)
    pending.body = b'{"prompt":"p"}'
    lines = list(forwarder.send(pending).body)
    texts = [line for line in lines if line.startswith(b'data: {')]
    return msgspec.json.decode(texts[0][6:])['system_fingerprint'], texts


@pytest.mark.parametrize('seed', range(8))
def test_a_stream_continues_at_an_engine_with_its_fingerprint(seed) -> None:
    began, texts = _read_stream(['a', 'b', 'a', 'b', 'b'], seed, known=True)
    assert len(texts) == 4
    assert all(began.encode() in text for text in texts)


def test_a_stream_does_not_continue_at_another_engine() -> None:
    _began, texts = _read_stream(['a', 'b'], 1)
    assert len(texts) == 3
    error = msgspec.json.decode(texts[-1][6:])['error']
    assert error['ran'] == 'unknown'
    assert error['type'] in {'version_gone', 'no_upstream'}


def test_a_stream_that_is_too_long_to_be_kept_is_not_resumed(
    monkeypatch,
) -> None:
    monkeypatch.setattr(senttext, 'MAX_KEPT_BYTES', 100)
    _began, texts = _read_stream(['a', 'a'], 1)
    assert len(texts) == 3
    error = msgspec.json.decode(texts[-1][6:])['error']
    assert error['type'] == 'upstream_lost'
    assert error['ran'] == 'unknown'


def test_no_text_is_kept_of_a_stream_that_is_too_long(monkeypatch) -> None:
    monkeypatch.setattr(senttext, 'MAX_KEPT_BYTES', 100)
    sent = SentText()
    kept = 0
    for _ in range(50):
        sent.record(b'data: {"text":"word"}\n')
        kept = max(kept, sum(map(len, sent.lines)))
    assert kept <= 100
    assert not sent.is_whole
    assert not sent.lines
