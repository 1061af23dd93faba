"""Answers of engines whose chunks carry a fingerprint."""

from __future__ import annotations

import msgspec


class StreamedReply:
    """Answer of an engine with two tokens."""

    status = 200

    def __init__(self, version: str, *, is_whole: bool) -> None:
        self.version = version
        self.is_whole = is_whole

    def get_header(self, name: str) -> str:
        return {'content-type': 'text/event-stream'}.get(name, 'r-1')

    def iterate_lines(self, **_limits):
        for _token in range(2):
            chunk = {
                'id': 'c',
                'choices': [{'text': self.version}],
                'system_fingerprint': self.version,
            }
            yield b'data: %b\n' % msgspec.json.encode(chunk)
            yield b'\n'
        if not self.is_whole:
            raise ConnectionResetError('the engine is gone')
        yield b'data: [DONE]\n'

    def close(self) -> None:
        """Do nothing."""
