"""Part of an extra response that joins the head of the one that is due."""

from __future__ import annotations

import gevent
import pytest
from gevent.server import StreamServer

from wigeonpier.web.exchange import make_request
from wigeonpier.web.joinedheads import is_joined
from wigeonpier.web.pool import ConnectionPool
from wigeonpier.web.readlimits import BrokenAnswerError

REQUEST = make_request('GET', '/', [('Host', 'h')])
OWN = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
PIECE_SECONDS = 0.02


@pytest.mark.parametrize(
    ('part', 'length'),
    [
        (b'HTTP/1.1 503 ', 1000),
        # The status line of the second response arrives in two pieces.
        (b'HTTP/1.1 503 ', 20),
        (b'HTTP/1.1 503 x\r\nX-Not-Executed: ', 1000),
        (b'HTTP/1.1 503 x\r\nX-Not-Executed: 1', 40),
    ],
)
def test_a_response_behind_part_of_another_one_is_broken(
    part: bytes, length: int
) -> None:
    """It had the status or a header of the other one."""
    sent = part + OWN

    def serve(sock, _address) -> None:
        sock.recv(65536)
        sock.sendall(sent[:length])
        gevent.sleep(PIECE_SECONDS)
        sock.sendall(sent[length:])
        sock.recv(65536)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    opened = ConnectionPool().begin(address, 1).unwrap()
    with pytest.raises(BrokenAnswerError, match='inside another'):
        opened.send(REQUEST, 1)
    server.stop()


def test_a_protocol_named_in_a_header_is_no_response() -> None:
    assert not is_joined('OK', [('Upgrade', 'HTTP/2.0'), ('Via', '1.1 a')])
    assert is_joined('OK', [('Via', '1.1 aHTTP/1.1 200 OK')])
