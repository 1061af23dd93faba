"""Builds completions and stream events of the published interface."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from wigeonpier.bench.batching import Sequence

CHAT = 'chat.completion'
TEXT = 'text_completion'


def read_prompt(body: dict[str, Any]) -> str:
    """Read the prompt of a completion request.

    :param body: the request.
    :returns: the complete prompt.
    """
    messages = body.get('messages') or ()
    if messages:
        return '\n'.join(str(part['content']) for part in messages)
    return str(body['prompt'])


def render_event(content: dict[str, Any]) -> bytes:
    """Render a server-sent event.

    :param content: data of the event.
    :returns: data line and blank line.
    """
    return b'data: %b\n\n' % msgspec.json.encode(content)


def make_head(sequence: Sequence, shape: str) -> dict[str, Any]:
    """Make the members that all parts of an answer have in common.

    :param sequence: the stream.
    :param shape: kind of object.
    :returns: the common members.
    """
    return {
        'id': f'cmpl-{sequence.identity}',
        'object': shape,
        'created': int(time.time()),
        'model': sequence.model,
        'system_fingerprint': sequence.version,
    }


def make_chunk(sequence: Sequence, shape: str, token: str) -> dict[str, Any]:
    """Make the chunk of a stream that contains a token.

    :param sequence: the stream.
    :param shape: kind of object.
    :param token: text of the token.
    :returns: the chunk.
    """
    if shape == CHAT:
        choice: dict[str, Any] = {
            'delta': {'role': 'assistant', 'content': token},
        }
    else:
        choice = {'text': token}
    head = make_head(sequence, shape)
    if shape == CHAT:
        head['object'] = 'chat.completion.chunk'
    return head | {'choices': [{'index': 0, 'finish_reason': None} | choice]}


def make_last(sequence: Sequence, shape: str) -> dict[str, Any]:
    """Make the last chunk of a stream.

    :param sequence: the stream.
    :param shape: kind of object.
    :returns: the chunk.
    """
    last = make_chunk(sequence, shape, '')
    last['choices'][0]['finish_reason'] = 'stop'
    return last


def make_usage(sequence: Sequence, shape: str) -> dict[str, Any]:
    """Make the chunk with the token counts.

    :param sequence: the stream.
    :param shape: kind of object.
    :returns: the chunk.
    """
    last = make_chunk(sequence, shape, '')
    return last | {'choices': [], 'usage': count_tokens(sequence)}


def make_completion(
    sequence: Sequence,
    shape: str,
    text: str,
) -> dict[str, Any]:
    """Make an answer that is not streamed.

    :param sequence: the stream.
    :param shape: kind of object.
    :param text: the answer.
    :returns: the completion.
    """
    if shape == CHAT:
        choice: dict[str, Any] = {
            'message': {'role': 'assistant', 'content': text},
        }
    else:
        choice = {'text': text}
    return make_head(sequence, shape) | {
        'choices': [{'index': 0, 'finish_reason': 'stop'} | choice],
        'usage': count_tokens(sequence),
    }


def count_tokens(sequence: Sequence) -> dict[str, int]:
    """Count the tokens of an answer.

    :param sequence: the stream.
    :returns: the usage object.
    """
    prompt_tokens = len(sequence.prompt.split())
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': sequence.length,
        'total_tokens': prompt_tokens + sequence.length,
    }
