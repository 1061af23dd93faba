"""Jobs of a store outage are read while the disks that hold them have no power."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gevent.pool import Pool
from harness2 import Site, call, finish, gevent, is_troubled, make_job

JOBS = 6
ITEMS = 10
ITEM_BYTES = 15_000
OUTAGE_SECONDS = 4.5
# Shortly before the store is back.
POWER_LOST_AT_SECONDS = 4.2
POWER_LOST_SECONDS = 5.0
# ``contactMs``: from then on the entries are in touch again.
CONTACT_SECONDS = 3.0
MARGIN_SECONDS = 0.2
# The last reads are answered before the power is back.
READ_SECONDS = 0.8
NOT_FOUND = 404
# ``recoveryS`` after all are back, then ``finishS``.
FINISH_SECONDS = 12 + 18


def sleep_until(moment: float) -> None:
    """Wait until a moment of the monotonic clock."""
    gevent.sleep(max(0, moment - time.monotonic()))


def read(site, job) -> int:  # noqa: ANN001
    """Read a job at an entry that did not accept it; return the status."""
    entry = site.entries[1]
    status, answer = call(
        entry.callers, 'GET', f'/-/lots/{job.name}?after=0', timeout=2.5
    )
    site.write(f'job {job.name} read at {entry.name}: {status or answer!r}')
    return status


def main() -> None:
    site = Site(Path(__file__).resolve().parent)
    site.await_ready()
    # The entries have read by then which processes have a disk.
    gevent.sleep(4)
    jobs = [make_job(ITEMS, ITEM_BYTES) for _ in range(JOBS)]
    began = time.monotonic()
    site.store.faults.is_down = is_troubled()
    site.write('the store is down' if is_troubled() else 'no outage')
    gevent.sleep(0.4)
    accepted = [job for job in jobs if site.submit(job)]
    sleep_until(began + POWER_LOST_AT_SECONDS)
    lost_at = time.monotonic()
    if is_troubled():
        # They answer nothing, as machines without power.
        for disk in site.disks:
            disk.send(signal.SIGSTOP)
        site.write('all machines with a disk lose power')
    sleep_until(began + OUTAGE_SECONDS)
    site.store.faults.is_down = False
    site.write('the store is up')
    # The loss of power began before the store was back.
    sleep_until(time.monotonic() + CONTACT_SECONDS + MARGIN_SECONDS)
    site.write('the entries are in touch')
    missing = set()
    pool = Pool(JOBS)
    while time.monotonic() < lost_at + POWER_LOST_SECONDS - READ_SECONDS:
        statuses = pool.map(lambda job: read(site, job), accepted)
        if time.monotonic() < lost_at + POWER_LOST_SECONDS:
            missing |= {
                job.name
                for job, status in zip(accepted, statuses, strict=True)
                if status == NOT_FOUND
            }
        gevent.sleep(MARGIN_SECONDS)
    sleep_until(lost_at + POWER_LOST_SECONDS)
    if is_troubled():
        for disk in site.disks:
            disk.kill()
            disk.start()
        site.write('all machines with a disk are back')
    gevent.sleep(FINISH_SECONDS)
    missing_later = site.judge(accepted)
    site.write(f'at the end, {missing_later} jobs are lost')
    finish(
        site,
        len(missing) + missing_later,
        'accepted jobs answered 404, or lost at the end',
    )


main()
