"""Tests of the check that each caller has a final answer in time."""

from __future__ import annotations

import random
import signal
import time
from types import SimpleNamespace

import pytest

from tests.web.endlesspeer import EndlessPeer
from wigeonpier.bench import soakcallers, soakwaits
from wigeonpier.bench.endless import Endless
from wigeonpier.bench.processes import HostedProcess
from wigeonpier.bench.soakcallers import SoakCallers
from wigeonpier.bench.soakwaits import SoakWait, SoakWaits, check_wait


@pytest.mark.parametrize(
    ('seconds', 'pauses'),
    [(5.6, []), (7.6, [(1.0, 3.0)]), (5.6, [(-2.0, 0)]), (5.6, [(5.6, 9.0)])],
)
def test_a_late_answer_is_detected(seconds, pauses) -> None:
    assert check_wait(SoakWait('q', 0, seconds), pauses)


@pytest.mark.parametrize(
    ('seconds', 'pauses'),
    [(0.1, []), (5.4, []), (7.4, [(1.0, 3.0)]), (6.4, [(-1.0, 1.0)])],
)
def test_an_answer_in_time_is_accepted(seconds, pauses) -> None:
    assert not check_wait(SoakWait('q', 0, seconds), pauses)


def test_a_caller_that_waits_too_long_is_reported(monkeypatch) -> None:
    monkeypatch.setattr(soakwaits, 'DEADLINE_SECONDS', 0.1)
    monkeypatch.setattr(soakwaits, 'SLACK_SECONDS', 0)
    waits = SoakWaits()
    entry = SimpleNamespace(list_pauses=list)
    with waits.measure('q1', entry):
        time.sleep(0.05)
    assert not waits.violations
    with waits.measure('q2', entry):
        time.sleep(0.15)
    assert len(waits.violations) == 1
    assert waits.violations[0].startswith('q2: no final answer')


def test_pauses_end_when_a_process_resumes_or_is_killed(monkeypatch) -> None:
    process = HostedProcess('entry', 'e', None, None)
    process._child = SimpleNamespace(pid=0, poll=lambda: None)
    monkeypatch.setattr('os.kill', lambda _pid, _number: None)
    for number in (signal.SIGCONT, signal.SIGSTOP, signal.SIGSTOP):
        process.send(number)
    process.send(signal.SIGTERM)
    assert len(process.list_pauses()) == 1
    process.send(signal.SIGCONT)
    process.send(signal.SIGSTOP)
    process.send(signal.SIGKILL)
    process.send(signal.SIGCONT)
    assert len(process.list_pauses()) == 2
    assert process.list_pauses() == process.list_pauses()


def test_callers_report_an_entry_that_answers_without_end(monkeypatch) -> None:
    monkeypatch.setattr(soakwaits, 'DEADLINE_SECONDS', 0.1)
    monkeypatch.setattr(soakwaits, 'SLACK_SECONDS', 0.1)
    monkeypatch.setattr(soakcallers, 'CALL_TIMEOUT_SECONDS', 0.5)
    peer = EndlessPeer(Endless.head, is_trickle=True)
    entry = SimpleNamespace(callers=peer.address, list_pauses=list)
    callers = SoakCallers([entry], random.Random(1))
    assert not callers.is_ready()
    peer.stop()
    assert callers.find_late_answers()
