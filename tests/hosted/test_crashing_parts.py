"""Prompt parts that crash each upstream that runs a request with them.

No two requests are alike, and sound ones share all other parts, so neither a
request nor a caller could be refused.
"""

from __future__ import annotations

import random
import re
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from tests.hosted.builders import wait_for
from tests.hosted.callers import PromptCallers
from wigeonpier.bench.endless import Endless
from wigeonpier.cli.main import main

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    import pytest

    from tests.hosted.builders import HostedSite
    from wigeonpier.bench.replica import CrashingRun
    from wigeonpier.hosted.entry import EntryApp

FIRST = 'a0'
SOUND = tuple(f'b{number}' for number in range(6))
BAD = 'bad'
ENTRIES = 4
REPLICAS = 6
CALM_SECONDS = 2.0
BAD_SECONDS = 13.0
SOUND_PAUSE = 0.06
BAD_PAUSE = 0.25
OTHER_CRASH_SECONDS = 10.0
# Two blank lines arrive in it.
BLANK_SECONDS = 1.5
REFUSED = 400
STORED_PREFIX = 'wigeonpier/hosted/board/refused/'
# Of the rules: runs later than this after the fifth crash, and the share of
# sound requests that begin at the first attempt, compared with the calm share.
KNOWN_CRASHES = 5
CONTACT_SECONDS = 3.0
MAX_LATE_RUNS = 3
MIN_SERVED_SHARE = 0.5


def start(site: HostedSite, *bad: str, restart_seconds: float = 1.5) -> None:
    """Start a site whose replicas crash under some parts."""
    site.start(replicas=REPLICAS, entries=ENTRIES, event_seconds=0.02)
    deadly = set(bad)
    for replica in site.replicas:
        replica.restart_seconds = restart_seconds
        replica.faults.deadly_parts = deadly


def choose_sound(rng: random.Random) -> tuple[str, ...]:
    """Choose the parts of a sound prompt."""
    return (FIRST, rng.choice(SOUND))


def list_runs(site: HostedSite) -> list[CrashingRun]:
    """List the runs of requests that crash replicas, by start."""
    runs = [run for replica in site.replicas for run in replica.crashing_runs]
    return sorted(runs, key=lambda run: run.started_at)


def find_known_at(runs: Iterable[CrashingRun]) -> float:
    """Find the time of the last crash that may be needed to know the cause."""
    crashes = sorted(run.crashed_at for run in runs if run.crashed_at)
    return crashes[:KNOWN_CRASHES][-1]


def check_runs(site: HostedSite) -> None:
    """Check that few runs with each part begin once it must be known."""
    runs = list_runs(site)
    for cause in {run.fingerprint for run in runs}:
        with_it = [run for run in runs if run.fingerprint == cause]
        known_at = find_known_at(with_it)
        late = [
            run
            for run in with_it
            if run.started_at > known_at + CONTACT_SECONDS
        ]
        assert len(late) <= MAX_LATE_RUNS, (cause, len(with_it))


@dataclass(frozen=True)
class Play:
    """Requests that are sent to a site.

    :param make_bad: makes the parts of the prompt of a crashing request.
    :param make_sound: makes those of a sound one.
    :param calm_seconds: time before the first crashing request.
    :param bad_seconds: time in which crashing requests are sent.
    """

    make_bad: Callable[[random.Random], Sequence[str]]
    make_sound: Callable[[random.Random], Sequence[str]] = choose_sound
    calm_seconds: float = CALM_SECONDS
    bad_seconds: float = BAD_SECONDS

    def run(self, site: HostedSite) -> PromptCallers:
        """Send the requests, and check how sound ones were served."""
        callers = PromptCallers(site)
        began = time.monotonic()
        rng = random.Random(2)
        sound = gevent.spawn(
            callers.send_for,
            self.calm_seconds + self.bad_seconds,
            SOUND_PAUSE,
            lambda: self.make_sound(rng),
        )
        gevent.sleep(self.calm_seconds)
        callers.send_for(
            self.bad_seconds, BAD_PAUSE, lambda: self.make_bad(rng)
        )
        sound.join()
        callers.finish()
        calm = 1.0
        if self.calm_seconds:
            _count, calm = callers.measure_served(
                began, began + self.calm_seconds, is_sound
            )
        count, served = callers.measure_served(
            find_known_at(list_runs(site)) + 2 * CONTACT_SECONDS,
            time.monotonic(),
            is_sound,
        )
        assert count > 20
        assert served >= MIN_SERVED_SHARE * calm, (served, calm)
        refused = [
            reply
            for reply in callers.replies
            if REFUSED in reply.statuses and is_sound(reply.parts)
        ]
        assert not refused
        return callers


def is_sound(parts: Sequence[str]) -> bool:
    """Tell whether no part of a prompt crashes replicas."""
    return not any(part.startswith(BAD) for part in parts)


def test_requests_with_a_crashing_part_stop_and_sound_ones_are_served(
    site: HostedSite,
) -> None:
    start(site, BAD)
    callers = Play(lambda rng: (FIRST, BAD, rng.choice(SOUND))).run(site)
    check_runs(site)
    last = [reply for reply in callers.replies if not is_sound(reply.parts)][-1]
    assert last.statuses == (REFUSED,)
    assert b'"ran":"no"' in last.body


def test_a_new_first_part_is_not_blamed_for_the_part_behind_it(
    site: HostedSite,
) -> None:
    """No request with the first part has completed before the crashes."""
    start(site, BAD)
    play = Play(lambda rng: (FIRST, BAD, rng.choice(SOUND)), calm_seconds=0)
    play.run(site)
    check_runs(site)


def test_a_first_part_that_crashes_upstreams_is_found(
    site: HostedSite,
) -> None:
    start(site, BAD)
    Play(lambda rng: (BAD, rng.choice(SOUND))).run(site)
    check_runs(site)


def test_several_crashing_parts_at_once_are_found(site: HostedSite) -> None:
    bad = [f'{BAD}{number}' for number in range(3)]
    start(site, *bad)
    Play(
        lambda rng: (FIRST, rng.choice(SOUND), rng.choice(bad)),
        bad_seconds=BAD_SECONDS + 4,
    ).run(site)
    check_runs(site)


def test_crashing_parts_are_found_without_the_store(site: HostedSite) -> None:
    """Entries that start meanwhile learn it from the workers."""
    start(site, BAD)
    site.store.faults.is_down = True
    callers = PromptCallers(site)
    callers.send_for(4, BAD_PAUSE, lambda: (FIRST, BAD))
    callers.finish()
    check_runs(site)
    assert all(has_culprit(entry) for entry in site.entries)
    for disk in site.disks:
        wait_for(
            lambda disk=disk: any(
                entry.is_proved for entry in disk._quarantine._entries.values()
            ),
            'the disks have it',
        )


def test_an_entry_that_starts_after_a_loss_of_all_knows_the_part(
    site: HostedSite,
) -> None:
    """After the loss of all processes only the store has it."""
    refuse_part(site)
    for app in (*site.workers, *site.entries):
        suspicions = getattr(app, '_suspicions', None) or app._trials.suspicions
        suspicions.suspects.clear()
        suspicions._log.clear()
        suspicions.parts.__init__()
    late_entry = site.add_entry('edge-later')
    wait_for(lambda: has_culprit(late_entry), 'it knows the part')


def test_an_operator_sees_the_part_and_lifts_it_everywhere(
    site: HostedSite, capsys: pytest.CaptureFixture[str]
) -> None:
    refuse_part(site)
    address = site.entries[1]._context.settings.metrics
    assert main(['suspects', address]) == 0
    # Lines of the log stand between the rows.
    (row,) = [
        line
        for line in capsys.readouterr().out.splitlines()
        if re.match('[0-9a-f]{32} +refused', line) and f'/{BAD}' in line
    ]
    assert main(['suspects', address, '--clear', row.split()[0]]) == 0
    wait_for(
        lambda: not any(has_culprit(entry) for entry in site.entries),
        'it is lifted',
    )
    wait_for(
        lambda: not site.store.list_keys(STORED_PREFIX), 'the store lifted it'
    )


def test_crashes_for_other_reasons_blame_no_part(site: HostedSite) -> None:
    """Replicas crash by themselves, under requests with new parts."""
    start(site)
    callers = PromptCallers(site)
    rng = random.Random(3)
    sending = gevent.spawn(
        callers.send_for,
        OTHER_CRASH_SECONDS,
        SOUND_PAUSE,
        lambda: (FIRST, f'new{rng.randrange(40)}'),
    )
    while not sending.ready():
        gevent.sleep(rng.uniform(0.2, 0.8))
        rng.choice(site.replicas).end()
    callers.finish()
    statuses = {status for one in callers.replies for status in one.statuses}
    assert REFUSED not in statuses
    assert not any(has_culprit(entry) for entry in site.entries)


def test_failed_answers_prove_no_part(site: HostedSite) -> None:
    """An upstream that fails at once has not read the prompt."""
    site.start(replicas=1)
    site.replicas[0].faults.fail = 1
    prompt = {'X-Prompt-Prefix': f'{FIRST}:1,own:1'}
    assert site.call('POST', '/once/1', 'q', b'{}', **prompt).status == 500
    proofs = site.entries[0]._suspicions.parts._proofs
    key = f'{site.replicas[0].service}/{FIRST}'
    assert proofs.find(key, 'v1') is None
    site.replicas[0].faults.impossible = {'j0', 'j1'}
    site.submit_job('j', 2, item_headers=prompt)
    site.wait_for_results('j', 2)
    assert (
        site.workers[0]._trials.suspicions.parts._proofs.find(key, 'v1') is None
    )
    assert site.call('POST', '/once/2', 'r', b'{}', **prompt).status == 200
    assert proofs.find(key, 'v1')


def test_blank_lines_before_a_crash_prove_no_part(site: HostedSite) -> None:
    """They counted as output, and a crashing part as sound after 0.15 s."""
    site.start(replicas=1)
    replica = site.replicas[0]
    replica.faults.endless.kind = Endless.blank_events
    replica.faults.endless.is_trickle = True
    prompt = {'X-Prompt-Prefix': f'{FIRST}:1,own:1', 'X-Deadline-Ms': '4000'}
    asking = gevent.spawn(site.try_call, 'POST', '/ask/1', 'q', b'{}', **prompt)
    gevent.sleep(BLANK_SECONDS)
    replica.end()
    suspicions = site.entries[0]._suspicions.parts
    wait_for(lambda: suspicions.evidence, 'the crash is known')
    asking.kill()
    key = f'{replica.service}/{FIRST}'
    assert suspicions._proofs.find(key, 'v1') is None
    assert suspicions.evidence[key].early


def refuse_part(site: HostedSite) -> None:
    """Start a site and send requests until the store has the part."""
    start(site, BAD)
    callers = PromptCallers(site)
    callers.send_for(3, BAD_PAUSE, lambda: (FIRST, BAD))
    callers.finish()
    wait_for(lambda: site.store.list_keys(STORED_PREFIX), 'the store has it')


def has_culprit(entry: EntryApp) -> bool:
    """Tell whether an entry refuses requests for a part."""
    return bool(entry._suspicions.parts.culprits.by_name)
