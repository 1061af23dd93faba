"""Jobs of one large item, then ordinary jobs during a store outage."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness2 import Site, finish, gevent, is_troubled, make_job

ITEM_BYTES = 15_000
LARGE_ITEM_BYTES = 1_000_000
# The ids are random; of these, the one that sorts first is in the way.
LARGE_JOBS = 3
OUTAGE_SECONDS = 4.5
# ``recoveryS`` after the outage, then ``finishS``.
FINISH_SECONDS = 12 + 18


def main() -> None:
    site = Site(Path(__file__).resolve().parent)
    site.await_ready()
    jobs = [make_job(10, ITEM_BYTES) for _ in range(3)]
    large = [make_job(1, LARGE_ITEM_BYTES) for _ in range(LARGE_JOBS)]
    for job in large:
        site.write(f'job {job.name} has one item of {LARGE_ITEM_BYTES} bytes')
    accepted = [job for job in jobs if site.submit(job)]
    # Their own loss needs no disruption, so that the verdict leaves them out.
    for job in large:
        site.submit(job)
    gevent.sleep(3)
    site.write('the store is down' if is_troubled() else 'no outage')
    site.store.faults.is_down = is_troubled()
    later = [make_job(10, ITEM_BYTES) for _ in range(16)]
    accepted += [job for job in later if site.submit(job, first=1)]
    gevent.sleep(OUTAGE_SECONDS)
    site.store.faults.is_down = False
    site.write('the store is up')
    gevent.sleep(FINISH_SECONDS)
    lost = site.judge(accepted)
    site.write('left out of the verdict:')
    site.judge(large)
    finish(site, lost)


main()
