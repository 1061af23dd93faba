"""Takes in batch files as a stream, checks each line, and keeps pages."""

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
from wigeonpier.disk.client import DiskClient, write_everywhere
from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.policy.copies import Disk, choose_copies
from wigeonpier.policy.paging import MOST_PAGE_BYTES, choose_page_size

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.settings.deployment import Deployment
    from wigeonpier.web.messages import Request

PURPOSE = 'batch'
FILE_FIELD = 'file'
PURPOSE_FIELD = 'purpose'
MOST_FIELD = 1_000
SERVICES = '/services/'
SHARD_BITS = 8
HASH_BITS = 64
NEW_LINE = b'\n'
FILE_ID_BYTES = 12

_LINE_DECODER = msgspec.json.Decoder(Line)


@dataclass(slots=True)
class IdSet:
    """Hashes of custom ids, packed: 8 bytes each.

    Two different ids of one file share a 64-bit hash once in a hundred
    million files of 530,000 lines; such a file would be refused.
    """

    shards: list[array[int]] = field(
        default_factory=lambda: [array('Q') for _ in range(1 << SHARD_BITS)],
    )

    def add(self, custom_id: str) -> None:
        """Note an id.

        :param custom_id: the caller's id.
        """
        digest = xxhash.xxh3_64_intdigest(custom_id.encode())
        self.shards[digest >> (HASH_BITS - SHARD_BITS)].append(digest)

    def has_twice(self) -> bool:
        """Tell whether an id was noted twice."""
        return any(len(set(shard)) < len(shard) for shard in self.shards)


@dataclass(slots=True)
class LineCutter:
    """Cuts arriving bytes into lines of bounded length.

    :param limit: most bytes of a line.
    :param rest: start of a line whose end has not arrived.
    """

    limit: int
    rest: bytes = b''

    def feed(self, part: bytes) -> list[bytes]:
        """Take in bytes.

        :param part: bytes as they arrive.
        :returns: whole lines without their ends.
        """
        *lines, rest = (self.rest + part).split(NEW_LINE)
        self.rest = rest
        if len(self.rest) > self.limit:
            raise Refusal(
                ErrorKind.body_too_large,
                f'a line may have at most {self.limit} bytes',
            )
        return lines


@dataclass(slots=True)
class Upload:
    """A file on its way in.

    :param file_id: its id.
    :param deployment: configuration in force.
    :param disks: reaches data folders.
    :param copies: folders that have all pages so far.
    :param pages: lines of each page that is kept.
    :param lines: lines of the page that is filled.
    :param url: path that the lines call.
    :param model: model that the lines run.
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
        """Check a line and keep it.

        :param raw: the line; blank ones are passed over.
        :raises Refusal: naming the line and what is wrong with it.
        """
        self.size += len(raw) + 1
        line = raw.strip()
        if not line:
            return
        self.count += 1
        self._check_line(line)
        self._digest.update(line)
        self._digest.update(NEW_LINE)
        self.lines.append(line)
        self._page_bytes += len(line) + 1
        is_full = len(self.lines) >= choose_page_size(len(self.pages))
        if is_full or self._page_bytes >= MOST_PAGE_BYTES:
            self._write_page()

    def finish(self, customer: str, filename: str) -> FileRecord:
        """Keep the last page and check the file as a whole.

        :param customer: whose it is.
        :param filename: name that the caller gave.
        :returns: the file's record.
        :raises Refusal: when it is empty or an id stands twice.
        """
        if self.lines:
            self._write_page()
        if not self.pages:
            raise _refuse('the file has no lines')
        if self._ids.has_twice():
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
        """Delete the pages that were kept."""
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
        content = NEW_LINE.join((*self.lines, b''))
        index = len(self.pages)
        self.copies = write_everywhere(
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
    choices: list[Disk],
) -> FileRecord:
    """Take in an upload.

    :param request: multipart form with ``purpose`` and ``file``.
    :param deployment: configuration in force.
    :param disks: reaches data folders.
    :param choices: folders that may be chosen.
    :returns: the record of the file; its pages are kept on all copies.
    :raises Refusal: when the form or a line is wrong, or too few folders
        are in reach; nothing of the file is left then.
    """
    request.body_limit = deployment.upload_limit
    file_id = f'file-{secrets.token_hex(FILE_ID_BYTES)}'
    chosen = choose_copies(choices, file_id, deployment.batch.copies)
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
    :param url: path that is called.
    :param model: model that is run.
    :returns: name of the service.
    :raises Refusal: when there is none.
    """
    if url.startswith(SERVICES):
        name = url.removeprefix(SERVICES).partition('/')[0]
        if name in deployment.services:
            return name
        raise Refusal(ErrorKind.not_found, f'there is no service {name!r}')
    if url not in {CHAT_PATH, TEXT_PATH}:
        raise _refuse(f'url: expected {CHAT_PATH} or {TEXT_PATH}, got {url!r}')
    for name, service in deployment.services.items():
        if model in service.models:
            return name
    raise Refusal(ErrorKind.model_not_found, f'there is no model {model!r}')


def refuse_storage(reached: int) -> Refusal:
    """Make the refusal for too few data folders.

    :param reached: how many were reached.
    :returns: the refusal; nothing was accepted.
    """
    return Refusal(
        ErrorKind.storage_down,
        f'only {reached} data folders can be reached',
    )


@dataclass(slots=True)
class _Form:
    """What has arrived of an upload's form."""

    upload: Upload
    cutter: LineCutter
    fields: dict[str, bytes] = field(default_factory=dict)
    filename: str = ''
    current: str = ''

    def begin_part(self, part: MultipartSegment) -> None:
        self.current = part.name
        self.filename = part.filename or self.filename

    def feed(self, content: bytes) -> None:
        if self.current == FILE_FIELD:
            for line in self.cutter.feed(content):
                self.upload.add_line(line)
            return
        so_far = self.fields.get(self.current, b'')
        if len(so_far) + len(content) > MOST_FIELD:
            raise _refuse(f'{self.current}: too long')
        self.fields[self.current] = so_far + content

    def finish(self) -> None:
        if self.cutter.rest:
            self.upload.add_line(self.cutter.rest)
        if self.fields.get(PURPOSE_FIELD) != PURPOSE.encode():
            raise _refuse('purpose: expected batch')


def _feed_upload(request: Request, upload: Upload) -> str:
    form = _Form(upload, LineCutter(upload.deployment.line_limit))
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
