"""Tests of ``config check-platform``."""

from __future__ import annotations

import msgspec
import pytest

from tests.hosted.builders import make_configuration, make_customer
from wigeonpier.cli.main import main


@pytest.fixture
def check(tmp_path, capsys: pytest.CaptureFixture[str]):
    """Return a function that checks a configuration with given customers."""

    def run(*customers: dict) -> tuple[int, str]:
        path = tmp_path / 'configuration.json'
        content = make_configuration(tenants=list(customers))
        path.write_bytes(msgspec.json.encode(content))
        status = main(['config', 'check-platform', str(path)])
        return status, capsys.readouterr().out

    return run


def test_a_valid_configuration_is_summarized(check) -> None:
    status, output = check(make_customer('a', 'k1', 'k2'))
    assert status == 0
    assert '1 customers, 2 keys' in output


def test_a_shared_key_fails_and_is_not_shown(check) -> None:
    status, output = check(make_customer('a', 'k1'), make_customer('b', 'k1'))
    assert status == 1
    assert 'a and b have a key in common' in output
    assert 'k1' not in output


def test_an_undecodable_file_fails(tmp_path) -> None:
    path = tmp_path / 'x.json'
    path.write_text('{"version": 1}')
    assert main(['config', 'check-platform', str(path)]) == 1
