"""Prompt prefixes that a stand-in engine caches in limited memory."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

BLOCK_TOKENS = 16


class PrefixCache:
    """Blocks of prompt starts, the least recently used go first."""

    def __init__(self, most_blocks: int) -> None:
        """Start empty."""
        self._most = most_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[tuple[str, int]] = []

    def use(self, tokens: list[str]) -> int:
        """Look a prompt up and keep it.

        :param tokens: tokens of the prompt.
        :returns: how many tokens from the start were cached.
        """
        cached = 0
        unbroken = True
        digest = 0
        for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
            block = ' '.join(tokens[end - BLOCK_TOKENS : end])
            digest = xxhash.xxh3_64_intdigest(f'{digest}\0{block}'.encode())
            unbroken = unbroken and digest in self._blocks
            if unbroken:
                cached = end
            self._keep(digest)
        return cached

    def _keep(self, digest: int) -> None:
        if digest not in self._blocks:
            self.events.append(('stored', digest))
        self._blocks[digest] = None
        self._blocks.move_to_end(digest)
        while len(self._blocks) > self._most:
            gone, _ = self._blocks.popitem(last=False)
            self.events.append(('removed', gone))
