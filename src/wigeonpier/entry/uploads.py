"""Receives batch files as a stream, checks each line and stores pages."""

from __future__ import annotations

import hashlib
import secrets
import time
from array import array
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash
from multipart import (
    MultipartError,
    MultipartSegment,
    PushMultipartParser,
    parse_options_header,
)

from wigeonpier.batch.models import (
    CHAT_PATH,
    TEXT_PATH,
    FileRecord,
    Line,
    LineHead,
)
from wigeonpier.disk.client import DiskClient, write_all_copies
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.policy.copies import Disk, choose_copies
from wigeonpier.policy.paging import MAX_PAGE_BYTES, choose_page_size

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.settings.deployment import Deployment
    from wigeonpier.web.messages import Request

PURPOSE = 'batch'
FILE_FIELD = 'file'
PURPOSE_FIELD = 'purpose'
MAX_FIELD_BYTES = 1_000
SERVICES_PREFIX = '/services/'
SHARD_BITS = 8
HASH_BITS = 64
LINE_FEED = b'\n'
FILE_ID_BYTES = 12

_LINE_DECODER = msgspec.json.Decoder(Line)


@dataclass(slots=True)
class IdSet:
    """Hashes of custom ids, packed: 8 bytes each.

    A file with two different ids of the same 64-bit hash is refused; that
    happens to one in a hundred million files of 530,000 lines.
    """

    shards: list[array[int]] = field(
        default_factory=lambda: [array('Q') for _ in range(1 << SHARD_BITS)],
    )

    def add(self, custom_id: str) -> None:
        """Add an id.

        :param custom_id: the caller's id of a line.
        """
        digest = xxhash.xxh3_64_intdigest(custom_id.encode())
        self.shards[digest >> (HASH_BITS - SHARD_BITS)].append(digest)

    def has_duplicates(self) -> bool:
        """Check whether an id was added more than once."""
        return any(len(set(shard)) < len(shard) for shard in self.shards)


@dataclass(slots=True)
class LineSplitter:
    """Splits received bytes into lines of bounded length.

    :param limit: maximum bytes of a line.
    :param remainder: start of a line whose end has not arrived.
    """

    limit: int
    remainder: bytes = b''

    def feed(self, part: bytes) -> list[bytes]:
        """Add received bytes.

        :param part: the bytes.
        :returns: complete lines without line feeds.
        """
        *lines, remainder = (self.remainder + part).split(LINE_FEED)
        self.remainder = remainder
        if len(self.remainder) > self.limit:
            raise Refusal(
                ErrorKind.body_too_large,
                f'a line may have at most {self.limit} bytes',
            )
        return lines


@dataclass(slots=True)
class Upload:
    """A file that is being received.

    :param file_id: id of the file.
    :param deployment: configuration in force.
    :param disks: reaches data folders.
    :param copies: folders that have all pages so far.
    :param pages: number of lines of each stored page.
    :param lines: lines of the current page.
    :param url: path that the lines call.
    :param model: model that the lines run.
    :param size: bytes received.
    :param count: lines received, without blank ones.
    """

    file_id: str
    deployment: Deployment
    disks: DiskClient
    copies: list[str]
    pages: list[int] = field(default_factory=list)
    lines: list[bytes] = field(default_factory=list)
    url: str = ''
    model: str = ''
    size: int = 0
    count: int = 0
    _page_bytes: int = 0
    _ids: IdSet = field(default_factory=IdSet)
    _digest: hashlib._Hash = field(default_factory=hashlib.sha256)

    def add_line(self, raw: bytes) -> None:
        """Check a line and add it to the current page.

        :param raw: the line; blank lines are skipped.
        :raises Refusal: naming the line and its problem.
        """
        self.size += len(raw) + 1
        line = raw.strip()
        if not line:
            return
        self.count += 1
        self._check_line(line)
        self._digest.update(line)
        self._digest.update(LINE_FEED)
        self.lines.append(line)
        self._page_bytes += len(line) + 1
        is_full = len(self.lines) >= choose_page_size(len(self.pages))
        if is_full or self._page_bytes >= MAX_PAGE_BYTES:
            self._write_page()

    def finish(self, customer: str, filename: str) -> FileRecord:
        """Store the last page and check the complete file.

        :param customer: name of the customer.
        :param filename: name that the caller gave.
        :returns: the file's record.
        :raises Refusal: when it is empty or an id occurs more than once.
        """
        if self.lines:
            self._write_page()
        if not self.pages:
            raise _refuse('the file has no lines')
        if self._ids.has_duplicates():
            raise _refuse('a custom_id stands in more than one line')
        return FileRecord(
            id=self.file_id,
            customer=customer,
            filename=filename,
            purpose=PURPOSE,
            bytes=self.size,
            pages=tuple(self.pages),
            copies=tuple(self.copies),
            digest=self._digest.hexdigest(),
            url=self.url,
            model=self.model,
            created=int(time.time()),
        )

    def discard(self) -> None:
        """Delete the stored pages."""
        for incarnation in self.copies:
            self.disks.remove(incarnation, f'files/{self.file_id}')

    def _check_line(self, raw: bytes) -> None:
        where = f'line {self.count}'
        try:
            line = _LINE_DECODER.decode(raw)
            head = msgspec.json.decode(line.body, type=LineHead)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise _refuse(f'{where}: {error}') from error
        if line.method != 'POST':
            raise _refuse(f'{where}: method: expected POST')
        if self.count == 1:
            self.url = line.url
            self.model = head.model
            find_service(self.deployment, self.url, self.model)
        if (line.url, head.model) != (self.url, self.model):
            raise _refuse(
                f'{where}: expected url {self.url} and model {self.model!r} '
                'as in line 1',
            )
        self._ids.add(line.custom_id)

    def _write_page(self) -> None:
        content = LINE_FEED.join((*self.lines, b''))
        index = len(self.pages)
        self.copies = write_all_copies(
            self.copies,
            lambda copy: self.disks.write_page(
                copy,
                self.file_id,
                index,
                content,
            ),
        )
        if len(self.copies) < self.deployment.batch.least_copies:
            raise refuse_storage(len(self.copies))
        self.pages.append(len(self.lines))
        self.lines.clear()
        self._page_bytes = 0


def receive_file(
    request: Request,
    deployment: Deployment,
    disks: DiskClient,
    candidates: list[Disk],
) -> FileRecord:
    """Receive an upload.

    :param request: multipart form with ``purpose`` and ``file``.
    :param deployment: configuration in force.
    :param disks: reaches data folders.
    :param candidates: folders that may be chosen.
    :returns: the record of the file; its pages are stored in all copies.
    :raises Refusal: when the form or a line is invalid, or too few folders
        are reachable; stored pages are deleted then.
    """
    request.body_limit = deployment.upload_limit
    file_id = f'file-{secrets.token_hex(FILE_ID_BYTES)}'
    chosen = choose_copies(candidates, file_id, deployment.batch.copies)
    if len(chosen) < deployment.batch.least_copies:
        raise refuse_storage(len(chosen))
    upload = Upload(
        file_id,
        deployment,
        disks,
        [disk.incarnation for disk in chosen],
    )
    try:
        filename = _feed_upload(request, upload)
        return upload.finish(request.customer, filename)
    except BaseException:
        upload.discard()
        raise


def find_service(deployment: Deployment, url: str, model: str) -> str:
    """Find the service that a path and model belong to.

    :param deployment: configuration in force.
    :param url: path that a request calls.
    :param model: model that it runs.
    :returns: name of the service.
    :raises Refusal: when there is none.
    """
    if url.startswith(SERVICES_PREFIX):
        name = url.removeprefix(SERVICES_PREFIX).partition('/')[0]
        if name in deployment.services:
            return name
        raise Refusal(ErrorKind.not_found, f'there is no service {name!r}')
    if url not in {CHAT_PATH, TEXT_PATH}:
        raise _refuse(f'url: expected {CHAT_PATH} or {TEXT_PATH}, got {url!r}')
    for name, service in deployment.services.items():
        if model in service.models:
            return name
    raise Refusal(ErrorKind.model_not_found, f'there is no model {model!r}')


def refuse_storage(reachable: int) -> Refusal:
    """Make the refusal for too few data folders.

    :param reachable: number of folders that were reached.
    :returns: the refusal; nothing was accepted.
    """
    return Refusal(
        ErrorKind.storage_down,
        f'only {reachable} data folders can be reached',
    )


@dataclass(slots=True)
class _Form:
    """The part of an upload's form that has been received."""

    upload: Upload
    splitter: LineSplitter
    fields: dict[str, bytes] = field(default_factory=dict)
    filename: str = ''
    current: str = ''

    def begin_part(self, part: MultipartSegment) -> None:
        self.current = part.name
        self.filename = part.filename or self.filename

    def feed(self, content: bytes) -> None:
        if self.current == FILE_FIELD:
            for line in self.splitter.feed(content):
                self.upload.add_line(line)
            return
        received = self.fields.get(self.current, b'')
        if len(received) + len(content) > MAX_FIELD_BYTES:
            raise _refuse(f'{self.current}: too long')
        self.fields[self.current] = received + content

    def finish(self) -> None:
        if self.splitter.remainder:
            self.upload.add_line(self.splitter.remainder)
        if self.fields.get(PURPOSE_FIELD) != PURPOSE.encode():
            raise _refuse('purpose: expected batch')


def _feed_upload(request: Request, upload: Upload) -> str:
    form = _Form(upload, LineSplitter(upload.deployment.line_limit))
    for event in _parse_form(request):
        if isinstance(event, MultipartSegment):
            form.begin_part(event)
        elif event:
            form.feed(bytes(event))
    form.finish()
    return form.filename


def _parse_form(
    request: Request,
) -> Iterator[MultipartSegment | bytearray | None]:
    kind, options = parse_options_header(
        request.headers.get('content-type', ''),
    )
    if kind != 'multipart/form-data' or 'boundary' not in options:
        raise _refuse('content-type: expected multipart/form-data')
    try:
        with PushMultipartParser(options['boundary']) as parser:
            for part in request.iterate_body():
                yield from parser.parse(part)
            if not parser.closed:
                yield from parser.parse(b'')
    except MultipartError as error:
        raise _refuse(f'the form is broken: {error}') from error


def _refuse(message: str) -> Refusal:
    return Refusal(ErrorKind.invalid_request, message)
