"""Online requests with an Idempotency-Key run once, on whichever entry."""

from __future__ import annotations

import hashlib
import secrets
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from wigeonpier.entry.jobs import refuse_platform, refuse_write
from wigeonpier.errors import ErrorKind, Ran, Refusal
from wigeonpier.platform.certain import swap_certainly
from wigeonpier.platform.keys import name_resend
from wigeonpier.platform.port import Failure
from wigeonpier.web.messages import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.platform.port import Entry, Platform

WRITE_SECONDS = 5.0
TOKEN_BYTES = 8
HOUR_SECONDS = 3600
LARGEST_KEPT = 256_000


class KeptAnswer(msgspec.Struct):
    """What is kept of a request that carries a key.

    :param token: drawn by the entry that runs it.
    :param digest: digest of the whole request.
    :param created: seconds since the epoch.
    :param status: HTTP status of its answer, 0 until there is one.
    :param content_type: media type of its answer.
    :param body: its answer.
    """

    token: str
    digest: str
    created: float
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class OnlineResends:
    """Agrees with the other entries on who runs a request.

    :param platform: the port.
    """

    platform: Platform

    def run_once(
        self,
        key: str,
        digest: str,
        hours: float,
        run: Callable[[], Response],
    ) -> Response:
        """Run a request unless it was begun before, on any entry.

        :param key: key of the request in the key-value service.
        :param digest: digest of the whole request.
        :param hours: how long a key is remembered.
        :param run: runs it.
        :returns: its answer, now or from before.
        :raises Refusal: when it was begun and has no answer that is kept.
        """
        entry = self._read(key)
        if entry is not None:
            kept = msgspec.json.decode(entry.value, type=KeptAnswer)
            if time.time() - kept.created < hours * HOUR_SECONDS:
                return _answer_again(kept, digest)
        begun = KeptAnswer(
            secrets.token_hex(TOKEN_BYTES),
            digest,
            time.time(),
        )
        revision = self._begin(key, begun, entry.revision if entry else 0)
        if isinstance(revision, Response):
            return revision
        return self._run(key, begun, revision, run)

    def _begin(
        self,
        key: str,
        begun: KeptAnswer,
        revision: int,
    ) -> int | Response:
        raw = msgspec.json.encode(begun)
        wrote = swap_certainly(
            self.platform,
            key,
            raw,
            revision,
            lambda found: found.value == raw,
            WRITE_SECONDS,
        )
        if isinstance(wrote, Ok):
            return wrote.ok_value
        if wrote.err_value is not Failure.conflict:
            # Nothing was sent to an upstream yet.
            refusal = refuse_write(wrote.err_value)
            refusal.ran = Ran.no
            raise refusal
        entry = self._read(key)
        if entry is None:
            raise Refusal(ErrorKind.conflict, 'the resend key changes')
        kept = msgspec.json.decode(entry.value, type=KeptAnswer)
        return _answer_again(kept, begun.digest)

    def _run(
        self,
        key: str,
        begun: KeptAnswer,
        revision: int,
        run: Callable[[], Response],
    ) -> Response:
        try:
            response = run()
        except Refusal as refusal:
            if refusal.ran is Ran.no:
                self.platform.swap(key, None, revision)
            raise
        body = response.body
        if isinstance(body, bytes) and len(body) <= LARGEST_KEPT:
            begun.status = response.status
            begun.content_type = response.content_type
            begun.body = body
            self.platform.swap(key, msgspec.json.encode(begun), revision)
        return response

    def _read(self, key: str) -> Entry | None:
        read = self.platform.get(key)
        if isinstance(read, Err):
            raise refuse_platform()
        return read.ok_value


def name_online(customer: str, key: str) -> str:
    """Name the key of an online request.

    :param customer: who sent it.
    :param key: its Idempotency-Key.
    :returns: name in the key-value service.
    """
    return name_resend(customer, digest_parts(b'online', key.encode()))


def digest_parts(*parts: bytes) -> str:
    """Digest the parts of a request.

    :param parts: what tells it from others.
    :returns: SHA-256, hexadecimal.
    """
    return hashlib.sha256(b'\0'.join(parts)).hexdigest()


def _answer_again(kept: KeptAnswer, digest: str) -> Response:
    if kept.digest != digest:
        raise Refusal(
            ErrorKind.key_reused,
            'the Idempotency-Key was used for another request',
        )
    if not kept.status:
        raise Refusal(
            ErrorKind.outcome_unknown,
            'a request with this key was begun; it runs, or its answer is lost',
        )
    return Response(kept.status, kept.body, kept.content_type)
