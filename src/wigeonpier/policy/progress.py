"""Decides whether the text of a running item is saved outside its process.

Addresses hundreds of items that run for seconds and are due much later, of
which a few are lost with their process and run again elsewhere.  Saving is
worth a call to the store only where such an item would otherwise be late.
"""

from __future__ import annotations

# From the loss of a process until its items run elsewhere: its lease expires,
# and they are assigned, fetched and started.
TAKEOVER_SECONDS = 5.0
# Planned length of a new run in mean runs; a run may take longer than the mean.
PLANNED_RUNS = 1.5


def should_save_progress(
    seconds_left: float,
    run_seconds: float,
    pause: float,
) -> bool:
    """Decide whether an item that is lost before the next check would be late.

    :param seconds_left: time until its deadline.
    :param run_seconds: how long a whole item runs.
    :param pause: until the next check, seconds.
    :returns: true where it could not run again from the start in time.
    """
    needed = TAKEOVER_SECONDS + PLANNED_RUNS * run_seconds
    return seconds_left - pause < needed
