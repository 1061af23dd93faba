"""Admits online requests to the competition for slots in order of priority.

Addresses load peaks in which all slots are taken while customers of a higher
priority wait beside others.  While a request of a higher rank is held, no
lower rank is admitted; within a rank all are.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class PriorityGate:
    """Priorities of the requests that one entry holds.

    :param ranks: number of held requests by rank, 0 is the highest.
    """

    ranks: Counter[int] = field(default_factory=Counter)

    def add(self, rank: int) -> None:
        """Add a held request.

        :param rank: priority of the request.
        """
        self.ranks[rank] += 1

    def remove(self, rank: int) -> None:
        """Remove a held request.

        :param rank: priority of the request.
        """
        self.ranks[rank] -= 1
        if not self.ranks[rank]:
            self.ranks.pop(rank)

    def is_admitted(self, rank: int) -> bool:
        """Check whether requests of a rank may request slots now.

        :param rank: priority of the request.
        :returns: false while one of a higher rank waits.
        """
        return rank <= min(self.ranks, default=rank)
