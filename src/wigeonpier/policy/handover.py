"""Decides which batch items move to another worker, and which are claimed.

Addresses items that were assigned by a forecast that no longer holds: a peak
of online requests, a slow period of an upstream or a restarted worker makes
them late where they wait, while another worker could still complete them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.policy.backlog import predict_queue

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wigeonpier.policy.backlog import ItemOutlook, QueueOutlook
    from wigeonpier.policy.pacing import ItemView, Key, UpstreamView

# A second move may correct a first one that went wrong; more would send an
# item around while each move costs the store a transaction.
MAX_MOVES = 2
# Time from the offer until the item runs at the other worker: the offer, the
# transaction and the watch take 50 ms, and reported backlogs are rounded to
# 0.5 s.
MOVE_SECONDS = 1.0
# Items of one offer; several offers follow each other within a second.
MAX_OFFERED = 4


def choose_offers(
    outlook: QueueOutlook,
    ready_seconds: float,
    moves: Mapping[Key, int],
) -> list[ItemOutlook]:
    """Choose the items to offer to another worker.

    :param outlook: what is expected of the items here.
    :param ready_seconds: time after which a whole item completes there.
    :param moves: earlier moves by item; items that must stay are absent.
    :returns: items of one job that would be late here, complete there in
        time, and complete there clearly earlier.
    """
    there = ready_seconds + MOVE_SECONDS
    fitting = [
        found
        for found in outlook.items
        if moves.get(found.item.key, MAX_MOVES) < MAX_MOVES
        and found.slack < 0
        and there < found.item.seconds_left
        and there < found.ends_in
    ]
    if not fitting:
        return []
    fitting.sort(key=lambda found: found.item.seconds_left)
    # One transaction moves items of one job.
    job = fitting[0].item.key[0]
    offered = [found for found in fitting if found.item.key[0] == job]
    return offered[:MAX_OFFERED]


def choose_claims(
    upstream: UpstreamView,
    items: Iterable[ItemView],
    offered: Iterable[ItemView],
    slots: float,
) -> list[ItemView]:
    """Choose which offered items a worker claims.

    :param upstream: load of its upstream.
    :param items: items that it has, and those that it has claimed.
    :param offered: items offered to it.
    :param slots: slots that items get on average.
    :returns: items that complete in time there, and make none late that would
        have been in time without them.
    """
    queue = list(items)
    late = predict_queue(upstream, queue, slots).late
    claimed: list[ItemView] = []
    for item in offered:
        outlook = predict_queue(upstream, [*queue, item], slots)
        ends_in = next(
            found.ends_in
            for found in outlook.items
            if found.item.key == item.key
        )
        is_in_time = ends_in + MOVE_SECONDS < item.seconds_left
        if is_in_time and outlook.late <= late:
            queue.append(item)
            claimed.append(item)
    return claimed
