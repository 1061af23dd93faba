"""Server-sent events of completion streams: parse, resume and join."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

DATA_PREFIX = b'data: '
END_MARK = b'[DONE]'
CHAT_CHUNK = 'chat.completion.chunk'
CHAT = 'chat.completion'
TEXT = 'text_completion'


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    text: str = ''
    finish_reason: str | None = None


class TokenUsage(msgspec.Struct):
    """Token counts of a completion.

    :param prompt_tokens: tokens of the prompt.
    :param completion_tokens: tokens generated.
    :param total_tokens: sum of both.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str = ''
    object: str = ''
    created: int = 0
    model: str = ''
    choices: list[_Choice] = []
    usage: TokenUsage | None = None
    # Of the software and the configuration that generate; engines may omit it.
    system_fingerprint: str | None = None


class Completion(msgspec.Struct):
    """A completion that is not streamed; only its usage is decoded.

    :param usage: token counts.
    """

    usage: TokenUsage = msgspec.field(default_factory=TokenUsage)


_DECODER = msgspec.json.Decoder(_Chunk)


@dataclass(slots=True)
class Assembler:
    """Joins the chunks of a completion stream.

    :param parts: texts of the chunks in order.
    :param head: first chunk with an id; gives id, model and kind.
    :param usage: token counts reported by the engine.
    :param finish_reason: why the completion ended.
    :param is_whole: whether the end mark was received.
    :param is_mixed: whether engines with different fingerprints wrote it.
    """

    parts: list[str] = field(default_factory=list)
    head: _Chunk = field(default_factory=_Chunk)
    usage: TokenUsage | None = None
    finish_reason: str | None = None
    is_whole: bool = False
    is_mixed: bool = False

    @property
    def version(self) -> str:
        """Return the fingerprint of the engine, empty if it has none."""
        return get_version(self.head)

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return ''.join(self.parts)

    def feed(self, line: bytes) -> bool:
        """Process one line of the stream.

        :param line: line of the stream.
        :returns: whether it contained text.
        """
        if not line.startswith(DATA_PREFIX):
            return False
        payload = line[len(DATA_PREFIX) :].strip()
        if payload == END_MARK:
            self.is_whole = True
            return False
        chunk = _DECODER.decode(payload)
        self.head = self.head if self.head.id else chunk
        self.usage = chunk.usage or self.usage
        for choice in chunk.choices:
            self.finish_reason = choice.finish_reason or self.finish_reason
            text = choice.delta.content or choice.text
            if text:
                self.parts.append(text)
                self.is_mixed |= self.version != get_version(chunk)
                return True
        return False

    def make_body(self) -> dict[str, Any]:
        """Build the body of the equivalent response without streaming.

        :returns: the completion object.
        """
        is_chat = self.head.object == CHAT_CHUNK
        if is_chat:
            choice: dict[str, Any] = {
                'message': {'role': 'assistant', 'content': self.text},
            }
        else:
            choice = {'text': self.text}
        return {
            'id': self.head.id,
            'object': CHAT if is_chat else self.head.object,
            'created': self.head.created,
            'model': self.head.model,
            'choices': [
                {'index': 0, 'finish_reason': self.finish_reason} | choice,
            ],
            'usage': self.usage or TokenUsage(),
        }


def get_version(chunk: _Chunk) -> str:
    """Get which engine wrote a chunk.

    :param chunk: the chunk.
    :returns: fingerprint of the engine, empty if it has none.
    """
    return chunk.system_fingerprint or ''


def read_version(line: bytes) -> str:
    """Read which engine wrote a line that contains a chunk.

    :param line: the line.
    :returns: fingerprint of the engine, empty if it has none or the line
        cannot be read.
    """
    try:
        return get_version(_DECODER.decode(line[len(DATA_PREFIX) :]))
    except msgspec.DecodeError:
        return ''


def is_text_line(line: bytes) -> bool:
    """Check whether a line contains a chunk, without decoding it.

    :param line: line of a stream.
    :returns: false for blank lines and the end mark.
    """
    return line.startswith(DATA_PREFIX) and not line.startswith(
        DATA_PREFIX + END_MARK
    )


def is_end_line(line: bytes) -> bool:
    """Check whether a line is the end mark of a complete stream.

    :param line: line of a stream.
    :returns: true for the end mark.
    """
    return line.startswith(DATA_PREFIX + END_MARK)


def join_chunks(lines: Iterable[bytes]) -> Assembler:
    """Join the chunks of recorded lines.

    :param lines: lines of a stream in order.
    :returns: the joined chunks.
    """
    assembler = Assembler()
    for line in lines:
        assembler.feed(line)
    return assembler


def continue_body(raw: bytes, text: str, tokens: int) -> bytes:
    """Create the request that resumes a partly delivered completion.

    :param raw: body of the original request.
    :param text: text that was delivered.
    :param tokens: number of tokens that were delivered.
    :returns: body of the request for the rest.
    """
    body = msgspec.json.decode(raw)
    body['continuation'] = {'text': text, 'tokens': tokens}
    return msgspec.json.encode(body)
