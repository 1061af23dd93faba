"""A job is ended while the store gives one worker no answer."""

import sys
import time
from http import HTTPStatus
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness2 import (
    HarmingProxy,
    Site,
    call,
    finish,
    gevent,
    is_troubled,
    make_job,
)

# "`items` lists the items, at most 200"; 109,000 tokens of the 1,300,000 that
# may wait.
ITEMS = 200
ITEM_BYTES = 1_500
# Of the ten events of an item: it runs for 2 s, 8 at once at each replica.
EVENT_SECONDS = 0.2
SILENT_AT = 2.0
ENDED_AT = 3.0
ANSWERS_AT = 6.0
# ``cancelMs`` after the confirmation, and ``contactMs`` until the worker is in
# touch again, with a margin.
CANCEL_SECONDS = 3.0
CONTACT_SECONDS = 3.0
MARGIN_SECONDS = 0.3
END_AT = 22.0
PROXY_BYTES = 65_536


class ForgettingProxy(HarmingProxy):
    """The store's side of one machine's channels.

    "The store may reject some machines (503, 429, a channel reset, or no
    response) while it serves the other machines and the operator."  "A channel
    on which a response is lost returns nothing further."
    """

    is_silent = False

    def _forward(self, source, sink, *, is_response):  # noqa: ANN001, ANN202
        is_lost = False
        try:
            while content := source.recv(PROXY_BYTES):
                is_lost = is_lost or self.is_silent
                if not is_lost:
                    sink.sendall(content)
        except OSError:
            # One side is closed; `_serve` closes the other one.
            return


class CutSite(Site):
    """A site whose first worker has its own channels to the store."""

    def _add(self, role, name, *details, **options):  # noqa: ANN001, ANN202
        if name != 'side-0':
            return super()._add(role, name, *details, **options)
        self.proxy = ForgettingProxy(self.address)
        address, self.address = self.address, self.proxy.address
        daemon = super()._add(role, name, *details, **options)
        self.address = address
        return daemon

    def silence(self, *, is_silent: bool) -> None:
        """Let the store give the worker no answer, or answer it again."""
        self.proxy.is_silent = is_silent
        self.write(f'the store gives side-0 {"no" if is_silent else "an"} answer')


def sleep_until(moment: float) -> None:
    """Wait until a moment of the monotonic clock."""
    gevent.sleep(max(0, moment - time.monotonic()))


def main() -> None:
    site = CutSite(
        Path(__file__).resolve().parent, event_seconds=EVENT_SECONDS
    )
    site.await_ready()
    gevent.sleep(2)
    job = make_job(ITEMS, ITEM_BYTES)
    began = time.monotonic()
    if not site.submit(job):
        site.stop()
        sys.exit(2)
    sleep_until(began + SILENT_AT)
    site.silence(is_silent=is_troubled())
    sleep_until(began + ENDED_AT)
    status, _answer = call(
        site.entries[1].callers, 'DELETE', f'/-/lots/{job.name}'
    )
    ended_at = time.monotonic()
    site.write(f'job {job.name} is ended: {status}')
    if status != HTTPStatus.OK:
        site.stop()
        sys.exit(2)
    sleep_until(began + ANSWERS_AT)
    site.silence(is_silent=False)
    answers_at = time.monotonic()
    sleep_until(began + END_AT)
    judged_from = max(
        ended_at + CANCEL_SECONDS,
        answers_at + CONTACT_SECONDS + MARGIN_SECONDS,
    )
    late = 0
    for replica in site.replicas:
        runs = sorted(
            one.at for one in replica.received if one.identity in job.items
        )
        after = [at for at in runs if at > ended_at]
        found = [at for at in runs if at > judged_from]
        late += len(found)
        site.write(
            f'{replica.name}: {len(runs)} runs of items of the job, of these'
            f' {len(after)} began after the confirmed end, {len(found)} after'
            f' {judged_from - ended_at:.1f} s; the last'
            f' {(runs or [ended_at])[-1] - ended_at:.1f} s after the end'
        )
    finish(site, late, 'runs of items of an ended job')


main()
