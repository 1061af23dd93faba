"""Makes the responses by which answers are passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpier.web.messages import EVENT_STREAM_TYPE, Response

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wigeonpier.web.client import StreamReply

LENGTH = 'Content-Length'


def make_response(
    reply: StreamReply, body: bytes | Iterator[bytes]
) -> Response:
    """Make the response that passes on an answer.

    :param reply: the answer.
    :param body: its complete body, or an iterator of its parts.
    :returns: the response; that of a long body bears its length, by which the
        next process distinguishes it from one without end.
    """
    content_type = reply.get_header('content-type')
    response = Response(reply.status, body, content_type)
    length = reply.get_header(LENGTH)
    is_stream = content_type.startswith(EVENT_STREAM_TYPE)
    if length and not (is_stream or isinstance(body, bytes)):
        response.headers[LENGTH] = length
    return response
