"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.hosted.callers import read_texts

if TYPE_CHECKING:
    from tests.hosted.builders import HostedSite

ITEMS = 4
REQUESTS = 6


def start(site: HostedSite) -> None:
    """Start a site whose replicas end answers with their connections."""
    site.start(replicas=2)
    for replica in site.replicas:
        replica.faults.is_unframed = True


def check_streams(site: HostedSite) -> None:
    """Check that each of some streams is complete."""
    for number in range(REQUESTS):
        reply = site.call('POST', '/ask/1', f'q{number}', b'%d' % number)
        expected = site.replicas[1].make_output(f'q{number}').split()
        assert read_texts(reply.body) == expected


def test_items_with_unframed_answers_complete(site: HostedSite) -> None:
    """They were taken for broken and ran until their retention was over."""
    start(site)
    assert site.submit_job('j', ITEMS).status == 202
    results = site.wait_for_results('j', ITEMS)
    assert {result['state'] for result in results} == {'completed'}
    assert all(
        max(replica.runs.values(), default=0) <= 1 for replica in site.replicas
    )


def test_unframed_stream_that_ends_inside_an_event_is_resumed(
    site: HostedSite,
) -> None:
    start(site)
    site.replicas[0].faults.break_after = 1
    check_streams(site)


def test_unframed_stream_without_events_is_not_complete(
    site: HostedSite,
) -> None:
    """It was taken for complete, and cleared a request of its crashes."""
    start(site)
    site.replicas[0].events = 0
    check_streams(site)
