"""Claims of chunks in the key-value service, and how they are written."""

from __future__ import annotations

import msgspec


class Segment(msgspec.Struct, frozen=True):
    """One owner's part of a chunk's journal.

    :param fence: fencing number of the owner.
    :param copies: incarnations of the data folders that hold it.
    """

    fence: int
    copies: tuple[str, ...]


class Tally(msgspec.Struct, frozen=True):
    """What the results of a chunk or job add up to.

    :param succeeded: items with an answer.
    :param failed: items that failed.
    :param cancelled: items that were cancelled.
    :param outcome_unknown: items that may have run and have no answer.
    :param prompt_tokens: tokens read by answered items.
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
        """Count the items."""
        return (
            self.succeeded + self.failed + self.cancelled + self.outcome_unknown
        )


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Who may work on a chunk, and where its journal is.

    :param owner: name of the owner's VM, empty where it was given back.
    :param token: drawn anew at each write, to know one's own write again.
    :param fence: counts up with each owner.
    :param segments: journal parts, oldest first.
    :param is_done: whether each item has its result in the last segment.
    :param tally: what the results add up to.
    """

    owner: str
    token: str
    fence: int
    segments: tuple[Segment, ...]
    is_done: bool = False
    tally: Tally = msgspec.field(default_factory=Tally)


def add_tallies(tallies: list[Tally]) -> Tally:
    """Add the tallies of chunks.

    :param tallies: one a chunk.
    :returns: their sum.
    """
    return Tally(
        *(
            sum(getattr(tally, name) for tally in tallies)
            for name in Tally.__struct_fields__
        )
    )
