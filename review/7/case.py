"""Large jobs before and after machines are added to the system."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness2 import Site, finish, gevent, is_troubled, make_job

WORKERS = 23
ADDED = 7
# A batch job has at most 200 items.
ITEMS = 200
ITEM_BYTES = 1_500
# ``recoveryS``, then ``finishS``.
FINISH_SECONDS = 12 + 18


def main() -> None:
    site = Site(Path(__file__).resolve().parent, replicas=WORKERS)
    site.await_ready(40)
    jobs = [make_job(ITEMS, ITEM_BYTES) for _ in range(2)]
    accepted = [job for job in jobs if site.submit(job)]
    gevent.sleep(4)
    if is_troubled():
        for _ in range(ADDED):
            site.add_replica()
        site.write(f'{ADDED} machines are added to {WORKERS}')
    deadline = time.monotonic() + 20
    while not site.has_joined() and time.monotonic() < deadline:
        gevent.sleep(0.2)
    gevent.sleep(3)
    later = [make_job(ITEMS, ITEM_BYTES) for _ in range(4)]
    accepted += [job for job in later if site.submit(job, first=1)]
    gevent.sleep(FINISH_SECONDS)
    finish(site, site.judge(accepted))


main()
