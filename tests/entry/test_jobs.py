"""Refusals of batch jobs whose first write may still take effect."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tests.entry.lateplatform import LatePlatform
from wigeonpier.batch.models import BatchRequest, FileRecord
from wigeonpier.entry import jobs
from wigeonpier.entry.jobs import JobHandler
from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.platform import keys

CUSTOMER = 'c'
URL = '/services/s/run'
REQUEST = BatchRequest('f', URL)
QUEUE_LIMIT = 10
ITEMS = 4


class _Queue:
    """Board with a number of queued items and no known jobs."""

    def __init__(self) -> None:
        self.jobs: dict[str, object] = {}
        self.queued = 0

    def count_queued(self, _customer: str) -> int:
        return self.queued


@pytest.fixture
def handler(monkeypatch):
    monkeypatch.setattr(jobs, 'WRITE_TIMEOUT_SECONDS', 0.2)
    handler = JobHandler(LatePlatform(), _Queue(), lambda _name: None)
    handler.write_file(
        FileRecord(
            id='f',
            customer=CUSTOMER,
            filename='f',
            purpose='batch',
            bytes=1,
            pages=(ITEMS,),
            copies=(),
            digest='d',
            url=URL,
            model='',
            created=1,
        )
    )
    return handler


def _create(handler: JobHandler, key: str = 'k'):
    limits = SimpleNamespace(queued_items=QUEUE_LIMIT)
    deployment = SimpleNamespace(
        customers={CUSTOMER: SimpleNamespace(limits=limits)},
        services={'s': SimpleNamespace(idempotent=True)},
        batch=SimpleNamespace(resend_hours=1),
    )
    return handler.create(CUSTOMER, REQUEST, key, deployment)


def _refuse(handler: JobHandler, key: str = 'k') -> Refusal:
    with pytest.raises(Refusal) as caught:
        _create(handler, key)
    return caught.value


def _list_jobs(platform: LatePlatform) -> list[str]:
    return [key for key in platform.entries if key.startswith(keys.JOBS)]


def test_a_repeat_of_an_unknown_write_is_not_refused_for_a_full_queue(
    handler,
) -> None:
    handler.platform.loses_jobs = True
    assert _refuse(handler).ran is Ran.unknown
    handler.platform.loses_jobs = False
    handler.board.queued = QUEUE_LIMIT
    page = _create(handler)
    handler.platform.execute_late()
    assert _list_jobs(handler.platform) == [keys.name_job(CUSTOMER, page.id)]


def test_a_repeat_of_an_unknown_write_does_not_deny_it(handler) -> None:
    handler.platform.loses_jobs = True
    assert _refuse(handler).ran is Ran.unknown
    handler.platform.is_down = True
    assert _refuse(handler).ran is Ran.unknown
    handler.platform.execute_late()
    assert len(_list_jobs(handler.platform)) == 1


def test_a_full_queue_refuses_each_send_of_a_new_request(handler) -> None:
    handler.board.queued = QUEUE_LIMIT
    for _ in range(3):
        refusal = _refuse(handler)
        assert refusal.kind is ErrorKind.limit_reached
        assert refusal.ran is Ran.no
    handler.platform.execute_late()
    assert not _list_jobs(handler.platform)


def test_a_write_that_certainly_failed_is_reported_as_not_run(handler) -> None:
    handler.platform.is_down = True
    assert _refuse(handler).ran is Ran.no
