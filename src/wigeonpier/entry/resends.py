"""Runs online requests with an Idempotency-Key once over all entries."""

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
from wigeonpier.platform.confirmedwrite import swap_confirmed
from wigeonpier.platform.keys import name_resend
from wigeonpier.platform.port import Failure
from wigeonpier.web.messages import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from wigeonpier.platform.port import Entry, Platform

WRITE_TIMEOUT_SECONDS = 5.0
TOKEN_BYTES = 8
HOUR_SECONDS = 3600
MAX_STORED_BYTES = 256_000


class StoredAnswer(msgspec.Struct):
    """A request with a key and its answer, as stored.

    :param token: random id of the run.
    :param digest: digest of the complete request.
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
    """Chooses the entry that runs a request by a compare-and-swap.

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
        """Run a request unless any entry has started it before.

        :param key: key of the request in the key-value service.
        :param digest: digest of the complete request.
        :param hours: how long a stored answer is valid.
        :param run: runs the request.
        :returns: the new answer or the stored one.
        :raises Refusal: when the request was started before and no answer is
            stored.
        """
        entry = self._read(key)
        if entry is not None:
            stored = msgspec.json.decode(entry.value, type=StoredAnswer)
            if time.time() - stored.created < hours * HOUR_SECONDS:
                return _replay_answer(stored, digest)
        answer = StoredAnswer(
            secrets.token_hex(TOKEN_BYTES),
            digest,
            time.time(),
        )
        revision = self._record_start(
            key, answer, entry.revision if entry else 0
        )
        if isinstance(revision, Response):
            return revision
        return self._run_and_store(key, answer, revision, run)

    def _record_start(
        self,
        key: str,
        answer: StoredAnswer,
        revision: int,
    ) -> int | Response:
        raw = msgspec.json.encode(answer)
        written = swap_confirmed(
            self.platform,
            key,
            raw,
            revision,
            lambda found: found.value == raw,
            WRITE_TIMEOUT_SECONDS,
        )
        if isinstance(written, Ok):
            return written.ok_value
        if written.err_value is not Failure.conflict:
            # Nothing has been sent to an upstream yet.
            refusal = refuse_write(written.err_value)
            refusal.ran = Ran.no
            raise refusal
        entry = self._read(key)
        if entry is None:
            raise Refusal(ErrorKind.conflict, 'the resend key changes')
        stored = msgspec.json.decode(entry.value, type=StoredAnswer)
        return _replay_answer(stored, answer.digest)

    def _run_and_store(
        self,
        key: str,
        answer: StoredAnswer,
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
        if isinstance(body, bytes) and len(body) <= MAX_STORED_BYTES:
            answer.status = response.status
            answer.content_type = response.content_type
            answer.body = body
            self.platform.swap(key, msgspec.json.encode(answer), revision)
        return response

    def _read(self, key: str) -> Entry | None:
        read = self.platform.get(key)
        if isinstance(read, Err):
            raise refuse_platform()
        return read.ok_value


def name_online_resend(customer: str, key: str) -> str:
    """Make the key under which an online request is stored.

    :param customer: name of the customer.
    :param key: its Idempotency-Key.
    :returns: key in the key-value service.
    """
    return name_resend(customer, digest_parts(b'online', key.encode()))


def digest_parts(*parts: bytes) -> str:
    """Digest the parts of a request.

    :param parts: parts that identify the request.
    :returns: SHA-256, hexadecimal.
    """
    return hashlib.sha256(b'\0'.join(parts)).hexdigest()


def _replay_answer(stored: StoredAnswer, digest: str) -> Response:
    if stored.digest != digest:
        raise Refusal(
            ErrorKind.key_reused,
            'the Idempotency-Key was used for another request',
        )
    if not stored.status:
        raise Refusal(
            ErrorKind.outcome_unknown,
            'a request with this key was begun; it runs, or its answer is lost',
        )
    return Response(stored.status, stored.body, stored.content_type)
