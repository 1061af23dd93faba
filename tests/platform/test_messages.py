"""Decoding of what the operator, replicas and callers write."""

from __future__ import annotations

import base64

import msgspec
import pytest

from tests.hosted.builders import make_configuration, make_route_entry
from wigeonpier.models import (
    ItemResult,
    ItemState,
    JobItem,
    UpstreamReport,
)
from wigeonpier.platform import ingress, jobbodies, operator, register
from wigeonpier.platform.process import read_settings
from wigeonpier.served import (
    RouteKind,
)
from wigeonpier.settings.document import DocumentError
from wigeonpier.web.messages import Request

SETTINGS = """
node = "side-1"
zone = "suva-a"
region = "viti-levu"
ip = "10.1.0.12"
internalPorts = [7720, 7735]
app = "10.1.0.12:8165"
service = "s"
somethingNew = 1
[zones]
suva-a = "viti-levu"
[listen]
[bounds]
graceS = 8
catchUpS = 4.7
[platform]
address = "10.200.1.7:8169"
historyS = 20
"""


def test_settings_are_read_and_unknown_fields_ignored(tmp_path) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    settings = read_settings(str(path))
    assert settings.upstream == '10.1.0.12:8165'
    assert settings.metrics == '10.1.0.12:7720'
    assert settings.store_history == 20


def test_invalid_setting_is_named(tmp_path) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.replace('graceS = 8', 'graceS = "long"'))
    with pytest.raises(DocumentError, match='graceS'):
        read_settings(str(path))


def test_kind_of_route_decides_whether_requests_are_idempotent() -> None:
    routes = [
        make_route_entry('safe', '/a/'),
        make_route_entry('unsafe', '/b/'),
        make_route_entry('streaming', '/c/', resumable=True),
        make_route_entry('streaming', '/d/', resumable=False),
        make_route_entry('some-new-kind', '/e/'),
    ]
    raw = msgspec.json.encode(make_configuration(routes=routes))
    found = operator.decode_configuration(raw).routes
    assert [route.is_idempotent for route in found] == [
        True,
        False,
        True,
        False,
        False,
    ]
    assert found[4].kind is RouteKind.once


def test_load_header_is_parsed_or_ignored() -> None:
    assert register.parse_load('3,1,8') == UpstreamReport(3, 1)
    assert register.parse_load('') is None
    assert register.parse_load('x,1,8') is None
    assert register.parse_load('3,\u00b2,8') is None


@pytest.mark.parametrize('figure', ['120', ' 55', '', 'x', '-5', '9' * 9999])
def test_later_figures_of_a_load_are_ignored(figure: str) -> None:
    """Guards against the loss of a load because of a later figure."""
    assert register.parse_load(f'3,1,8,{figure}') == UpstreamReport(3, 1)


@pytest.mark.parametrize('field', range(3))
def test_load_with_a_figure_of_thousands_of_digits_is_ignored(
    field: int,
) -> None:
    """Guards against an error of the conversion that ends the reader."""
    figures = ['3', '1', '8']
    figures[field] = '9' * 9999
    assert register.parse_load(','.join(figures)) is None


@pytest.mark.parametrize(
    ('runs', 'tokens'),
    [
        (b'[["c1908278bced7478",489,8,5],["a9ab",501,9,5]]', True),
        (b'[["a9ab",501,9]]', False),
        (b'[["a9ab",501,"9",5]]', None),
        (b'[["a9ab"]]', None),
        (b'"x"', None),
        (b'null', None),
    ],
)
def test_runs_are_decoded_or_ignored(runs: bytes, tokens: bool | None) -> None:
    """Guards against the loss of a report because of its runs."""
    found = register.decode_report(b'{"running":2,"runs":%s}' % runs)
    assert found.running == 2
    expected = {} if tokens is None else {'a9ab': 9}
    assert found.tokens == expected | (
        {'c1908278bced7478': 8} if tokens else {}
    )
    assert register.decode_report(register.encode_report(found)) == found


def test_headers_of_a_send_replace_those_of_the_caller() -> None:
    received = {
        'host': 'h',
        'x-deadline-ms': '5000',
        'x-expect-instance': 'forged',
        'last-event-id': '3',
        'connection': 'close',
        'x-model': 'm',
    }
    send = ingress.Send('i-1', 1.5, '7')
    listed = ingress.list_onward_headers(received, send)
    assert sorted(listed) == [
        ('Host', 'h'),
        ('Last-Event-Id', '7'),
        ('X-Deadline-Ms', '1500'),
        ('X-Expect-Instance', 'i-1'),
        ('X-Model', 'm'),
    ]


def test_prompt_parts_are_read() -> None:
    headers = {'x-prompt-prefix': 'a:800,b:410', 'x-deadline-ms': '250'}
    head = ingress.read_request_head(Request('POST', '/', '', headers, None))
    assert head.prompt_parts == ('a', 'b')
    assert head.seconds == 0.25


def test_items_are_decoded_and_invalid_bodies_refused() -> None:
    body = base64.b64encode(b'\x00').decode()
    item = {'id': 'i', 'path': '/p', 'body': body, 'tokens': 3}
    raw = msgspec.json.encode({'items': [item]})
    assert jobbodies.decode_items(raw) == [JobItem('i', '/p', {}, b'\x00', 3)]
    for invalid in (
        b'{}',
        b'[]',
        msgspec.json.encode({'items': [item | {'body': 'a'}]}),
    ):
        with pytest.raises(ValueError):
            jobbodies.decode_items(invalid)


def test_page_of_results_is_encoded() -> None:
    found = ItemResult('i', ItemState.abandoned, '')
    page = msgspec.json.decode(jobbodies.encode_results(4, 2, [found]))
    assert page == {
        'total': 4,
        'next': 2,
        'results': [{'id': 'i', 'state': 'abandoned', 'output': ''}],
    }
