"""Requests of the fault soak whose prompts have a part that crashes replicas.

No two of them are alike, and sound requests share all other parts.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import gevent

from wigeonpier.bench.soakcallers import make_prompt

if TYPE_CHECKING:
    import random

    from wigeonpier.bench.soakcallers import SoakCallers
    from wigeonpier.bench.soaksite import SoakSite

MAX_PARTS = 2
MAX_START_SECONDS = 3.0
GAP_SECONDS = (0.1, 0.6)
PATHS = ('/ask/prompt', '/ask/prompt', '/once/prompt')
# Share of these requests in whose prompts the crashing part comes first.
FIRST_PART_SHARE = 0.2


@dataclass
class SoakPrompts:
    """Sends requests with crashing parts.

    :param site: site under test.
    :param callers: callers that send them.
    :param rng: chooses parts and times.
    :param deadly_parts: the parts.
    """

    site: SoakSite
    callers: SoakCallers
    rng: random.Random
    deadly_parts: set[str] = field(default_factory=set)

    def run(self, seconds: float) -> None:
        """Send requests with one or two crashing parts.

        :param seconds: duration.
        """
        deadline = time.monotonic() + seconds
        for replica in self.site.replicas:
            replica.faults.deadly_parts = self.deadly_parts
        count = self.rng.randint(1, MAX_PARTS)
        sending = []
        for number in range(count):
            part = f'deadly{number}'
            self.deadly_parts.add(part)
            sending.append(
                gevent.spawn_later(
                    number * self.rng.uniform(0, MAX_START_SECONDS),
                    self._send_part,
                    part,
                    deadline,
                )
            )
        gevent.joinall(sending)

    def _send_part(self, part: str, deadline: float) -> None:
        sending: list[gevent.Greenlet[..., int]] = []
        while time.monotonic() < deadline:
            number = len(sending)
            parts = [*make_prompt(number), part]
            if self.rng.random() < FIRST_PART_SHARE:
                parts.reverse()
            sending.append(
                gevent.spawn(
                    self.callers.send_crashing,
                    self.rng.choice(PATHS),
                    b'%s %d' % (part.encode(), number),
                    parts,
                )
            )
            gevent.sleep(self.rng.uniform(*GAP_SECONDS))
        gevent.joinall(sending)
