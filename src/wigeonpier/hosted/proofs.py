"""Confirms that a configuration is the newest one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from wigeonpier.hosted.knowledge import Reading, read_clock
from wigeonpier.hosted.newest import NEWEST_PATH, ReadingMessage
from wigeonpier.platform.operator import CONFIGURATION_KEY
from wigeonpier.policy.ranking import rank_by_key
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from wigeonpier.hosted.configuration import ConfigurationWatch
    from wigeonpier.platform.store import KeyValueStore
    from wigeonpier.web.pool import ConnectionPool

# Number of processes that read for all entries: one may be down, and one alone
# would be overloaded by a few hundred entries.
READER_COUNT = 2
# The store takes 4 ms for a read, and 0.3 s when it is slow.
REQUEST_TIMEOUT_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class FreshnessProver:
    """Gets readings from processes that read the store for all entries.

    Reads the store itself where no such process responds.

    :param store: the key-value service.
    :param configuration: updated with what is read from the store here.
    :param pool: connections to the readers.
    :param list_readers: lists addresses of processes that reach the store.
    :param rng: source of randomness.
    """

    store: KeyValueStore
    configuration: ConfigurationWatch
    pool: ConnectionPool
    list_readers: Callable[[], Iterable[str]]
    rng: random.Random

    def confirm(self) -> Reading | None:
        """Get a reading of the newest revision.

        :returns: the reading, ``None`` if there is none.
        """
        reading = self._query_reader()
        # A revision that the watch has not delivered yet is read at once.
        if (
            reading is not None
            and reading.revision <= self.configuration.revision
        ):
            return reading
        return read_directly(self.store, self.configuration)

    def _query_reader(self) -> Reading | None:
        # All entries with the same state choose the same readers.
        ranked = rank_by_key(list(self.list_readers()), CONFIGURATION_KEY)
        readers = ranked[:READER_COUNT]
        if not readers:
            return None
        address = self.rng.choice(readers)
        requested_at = read_clock()
        raw = make_request('GET', NEWEST_PATH, [('Host', address)])
        called = self.pool.call(address, raw, REQUEST_TIMEOUT_SECONDS)
        if isinstance(called, Err) or not called.ok_value.is_good:
            return None
        reading = called.ok_value.decode(ReadingMessage)
        # Its age here is at most its age at the reader plus the time since the
        # request was sent.
        return Reading(reading.revision, requested_at - reading.age)


def read_directly(
    store: KeyValueStore,
    configuration: ConfigurationWatch,
) -> Reading | None:
    """Read the configuration from the store, through a relay if necessary.

    :param store: the key-value service.
    :param configuration: updated with what was read.
    :returns: the reading, ``None`` if the store does not respond.
    """
    requested_at = read_clock()
    read = store.get(CONFIGURATION_KEY)
    if isinstance(read, Err) or read.ok_value is None:
        return None
    configuration.take(read.ok_value)
    return Reading(read.ok_value.revision, requested_at)
