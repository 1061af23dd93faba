"""Callers that leave streams and resume them at other entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from tests.hosted.builders import HOST, TIMEOUT_SECONDS
from wigeonpier.hosted.events import EventReader
from wigeonpier.web.exchange import make_request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.hosted.builders import HostedSite

OK = 200


def find_versions(texts: Iterable[str]) -> set[str]:
    """Find the software versions that wrote the events of a stream."""
    return {text.rpartition('@')[2] for text in texts}


class RefusedError(Exception):
    """An entry did not answer with a stream."""

    def __init__(self, status: int, body: bytes, retry_after: str) -> None:
        """Keep the answer."""
        super().__init__(f'{status} {body!r}')
        self.status = status
        self.retry_after = retry_after
        self.error = msgspec.json.decode(body)['error']


@dataclass
class StreamCaller:
    """A caller of one site."""

    site: HostedSite

    def read(
        self,
        identity: str,
        entry: int = 0,
        most: int | None = None,
        target: str = '/ask/1',
        **headers: str,
    ) -> list[str]:
        """Read the events of a stream, or the first ones, and disconnect.

        :returns: their data; fewer where the stream breaks off.
        """
        listed = [
            ('Host', HOST),
            ('X-Deadline-Ms', '5000'),
            ('X-Attempt-Id', identity),
        ]
        listed += [
            (name.replace('_', '-'), text) for name, text in headers.items()
        ]
        raw = make_request('POST', target, listed, b'{}')
        exchange = self.site.pool.begin(
            self.site.addresses[entry], TIMEOUT_SECONDS
        ).unwrap()
        texts: list[str] = []
        try:
            exchange.send(raw, TIMEOUT_SECONDS)
            if exchange.status != OK:
                raise RefusedError(
                    exchange.status,
                    exchange.read(TIMEOUT_SECONDS),
                    exchange.get_header('Retry-After'),
                )
            reader = EventReader(exchange)
            while most is None or len(texts) < most:
                event = reader.read(TIMEOUT_SECONDS)
                if event is None:
                    break
                texts.append(event.text)
        except OSError:
            return texts
        finally:
            exchange.abort()
            exchange.close()
        return texts

    def read_all(self, identity: str, entry: int = 0) -> list[str]:
        """Read a stream until it ends or breaks off."""
        return self.read(identity, entry)

    def begin(self, count: int, events: int) -> dict[str, list[str]]:
        """Begin streams at the first entry, and leave them after some events.

        :returns: the data of these events by id of the attempt.
        """
        names = [f'q{number}' for number in range(count)]
        return {name: self.read(name, 0, events) for name in names}

    def resume(
        self, identity: str, resumes: str, after: int, entry: int
    ) -> list[str]:
        """Resume a stream at an entry, and read the rest."""
        return self.read(
            identity, entry, Last_Event_Id=str(after), Resumes=resumes
        )

    def leave_and_resume(self, number: int, after: int) -> list[str]:
        """Begin a stream, leave it, and resume it at another entry.

        :returns: the data of all events.
        """
        entries = len(self.site.entries)
        first = self.read(f'q{number}', number % entries, after)
        rest = self.resume(
            f'q{number}-again', f'q{number}', after, (number + 1) % entries
        )
        return first + rest
