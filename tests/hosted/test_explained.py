"""Finds the causes of three kinds of failed requests from the logs alone."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import gevent
import pytest

from tests.hosted.builders import SERVICE, HostedSite
from wigeonpier.cli.main import main
from wigeonpier.platform import storekeys
from wigeonpier.telemetry.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    Explain = Callable[[str], list[str]]


@pytest.fixture
def explain(tmp_path, capsys) -> Iterator[Explain]:
    """Collect the logs of a test, and explain an id from them."""
    path = tmp_path / 'log'
    with path.open('w') as log:
        configure_logs('site', 'info', log)

        def explain_id(identity: str) -> list[str]:
            log.flush()
            assert main(['explain', identity, str(path)]) == 0
            return capsys.readouterr().out.splitlines()

        yield explain_id
        configure_logs('tests', 'critical')


@pytest.fixture
def site(explain: Explain) -> Iterator[HostedSite]:
    """Make a site whose logs are collected."""
    made = HostedSite()
    gevent.Greenlet.add_spawn_callback(made.greenlets.append)
    made.start()
    yield made
    gevent.Greenlet.remove_spawn_callback(made.greenlets.append)
    made.stop()


def find_lines(lines: list[str], event: str) -> list[str]:
    """Find the lines of one event."""
    return [line for line in lines if f' {event} ' in line]


def test_refused_request_names_refusing_upstreams(site, explain) -> None:
    for replica in site.replicas:
        replica.faults.turn_away = 9
    assert site.call('POST', '/ask/1', 'q1', b'{}').status == 503
    lines = explain('q1')
    done = find_lines(lines, 'request_done')[0]
    for replica in site.replicas:
        assert f"'upstream': '{replica.name}'" in done
    assert done.count("'outcome': 'turned away'") == len(site.replicas)
    assert 'outcome=Refusal' in done
    # The state that it was based on: known upstreams, and the configuration.
    assert len(find_lines(lines, 'upstream_added')) >= len(site.replicas)
    assert find_lines(lines, 'configuration_applied')


def test_truncated_answer_names_cause(site, explain) -> None:
    for replica in site.replicas:
        replica.faults.break_after = 9
    called = site.pool.call(
        site.addresses[0],
        b'POST /once/1 HTTP/1.1\r\nHost: site.example\r\n'
        b'X-Attempt-Id: q2\r\nContent-Length: 0\r\n\r\n',
        5,
    )
    assert called.is_err()
    gevent.sleep(0.1)
    lines = explain('q2')
    retried = find_lines(lines, 'request_retried')[0]
    assert 'why=lost' in retried
    assert 'runs=1' in retried
    assert not find_lines(lines, 'stream_resumed')


def test_abandoned_item_shows_failed_runs(site, explain) -> None:
    for replica in site.replicas:
        replica.faults.fail = 9
    site.submit_job('j3', 1)
    results = site.wait_for_results('j3', 1)
    assert results[0]['state'] == 'abandoned'
    lines = explain('j30')
    assert len(find_lines(lines, 'item_broken')) == 3
    assert all(
        'end=failed' in line for line in find_lines(lines, 'item_broken')
    )
    done = find_lines(lines, 'item_done')[0]
    assert 'state=abandoned' in done
    assert 'why=failed' in done
    assert find_lines(explain('j3'), 'job_accepted')


def test_item_that_can_never_be_done_shows_why(site, explain) -> None:
    for replica in site.replicas:
        replica.faults.impossible = {'j50'}
    site.submit_job('j5', 1)
    assert site.wait_for_results('j5', 1)[0]['state'] == 'abandoned'
    assert 'why=impossible' in find_lines(explain('j50'), 'item_done')[0]


def test_log_line_is_json_with_number(site, tmp_path) -> None:
    site.call('POST', '/nowhere/1', 'q4')
    lines = (tmp_path / 'log').read_text().splitlines()
    assert lines
    assert all(json.loads(line)['number'] for line in lines)
    assert {json.loads(line)['process'] for line in lines} == {'site'}


def test_resumed_stream_shows_versions(site, tmp_path) -> None:
    site.replicas[0].faults.break_after = 9
    for number in range(8):
        name = f'q{number}'
        assert site.call('POST', '/ask/1', name, b'{}').status == 200
    lines = (tmp_path / 'log').read_text().splitlines()
    resumed = [line for line in map(json.loads, lines) if 'began' in line]
    assert {line['event'] for line in resumed} == {'stream_resumed'}
    assert {(line['began'], line['version']) for line in resumed} == {
        ('v1', 'v1')
    }


def test_stream_that_its_caller_resumes_names_both_attempts(
    site, explain
) -> None:
    for replica in site.replicas:
        replica.faults.break_after = 1
    assert site.try_call('POST', '/ask/1', 'q5', b'{}').is_err()
    site.call('POST', '/ask/1', 'q6', b'{}', Last_Event_Id='5', Resumes='q5')
    gevent.sleep(0.1)
    done = find_lines(explain('q5'), 'request_done')
    assert "'version': 'v1'" in done[0]
    assert 'resumes=q5' in done[1]
    assert 'resumed_after=5' in done[1]


def test_stream_that_is_not_resumed_says_why(site, explain) -> None:
    # A version that has left lately may have begun it.
    left = {'service': SERVICE, 'version': 'v0'}
    site.store.put(f'{storekeys.VERSIONS}gone/v0', left)
    reply = site.call(
        'POST', '/ask/1', 'q7', b'{}', Last_Event_Id='5', Resumes='nobody'
    )
    assert reply.status == 503
    refused = find_lines(explain('q7'), 'stream_not_resumed')[0]
    assert 'resumes=nobody' in refused
    assert 'why=it is unknown which version began the stream' in refused


def test_lost_request_names_the_shared_parts_of_its_prompt(
    site, explain
) -> None:
    for replica in site.replicas:
        replica.faults.break_after = 1
    prompt = {'X-Prompt-Prefix': 'aa:200,bb:100,cc:250'}
    site.try_call('POST', '/ask/1', 'q1', b'{}', **prompt)
    lines = explain('q1')
    for event in ('request_retried', 'request_done'):
        assert "parts=['aa', 'bb']" in find_lines(lines, event)[0]
