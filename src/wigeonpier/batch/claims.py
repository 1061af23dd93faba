"""Claims of chunks as they are stored in the key-value service."""

from __future__ import annotations

import msgspec


class Segment(msgspec.Struct, frozen=True):
    """One owner's part of a chunk's journal.

    :param fence: fencing number of the owner.
    :param copies: incarnations of the data folders that store it.
    """

    fence: int
    copies: tuple[str, ...]


class Tally(msgspec.Struct, frozen=True):
    """Totals of the results of a chunk or job.

    :param succeeded: items with an answer.
    :param failed: items that failed.
    :param cancelled: items that were cancelled.
    :param outcome_unknown: items that may have run and have no answer.
    :param prompt_tokens: prompt tokens of answered items.
    :param answer_tokens: tokens generated for answered items.
    """

    succeeded: int = 0
    failed: int = 0
    cancelled: int = 0
    outcome_unknown: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def items(self) -> int:
        """Return the number of items."""
        return (
            self.succeeded + self.failed + self.cancelled + self.outcome_unknown
        )


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a chunk and the location of its journal.

    :param owner: name of the owner's VM, empty after the claim was released.
    :param token: random for each write, so that a writer can recognize its
        own write.
    :param fence: fencing number, which increases with each owner.
    :param segments: segments of the journal, oldest first.
    :param is_done: whether the last segment has a result of each item.
    :param tally: totals of the results.
    """

    owner: str
    token: str
    fence: int
    segments: tuple[Segment, ...]
    is_done: bool = False
    tally: Tally = msgspec.field(default_factory=Tally)


def add_tallies(tallies: list[Tally]) -> Tally:
    """Add up the tallies of chunks.

    :param tallies: one per chunk.
    :returns: their sum.
    """
    return Tally(
        *(
            sum(getattr(tally, name) for tally in tallies)
            for name in Tally.__struct_fields__
        )
    )
