"""Callers that send more than a process should hold."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tests.memory.processes import Address

# A caller whose bytes are not accepted for so long sends no more of them, but
# keeps its connection open.
_STALL_S = 2


class Caller:
    """A connection on which a caller sends bytes and reads nothing."""

    def __init__(self, address: Address) -> None:
        """Open the connection."""
        self._sock = socket.create_connection(address)
        self._sock.settimeout(_STALL_S)

    def send(self, wire: bytes) -> None:
        """Send bytes until the process accepts none any more."""
        left = memoryview(wire)
        with contextlib.suppress(OSError):
            while left:
                left = left[self._sock.send(left) :]

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


@contextlib.contextmanager
def sending(address: Address, wires: Iterable[bytes]) -> Iterator[list[Caller]]:
    """Send bytes on one connection each, all at once.

    The connections stay open until the body of the ``with`` statement ends.

    Args:
        address: Address of the process.
        wires: The bytes for each connection.

    Yields:
        The callers, all of which have sent what was accepted of their bytes.
    """
    callers: list[Caller] = []
    with contextlib.ExitStack() as stack:
        threads = []
        for wire in wires:
            caller = Caller(address)
            stack.callback(caller.close)
            callers.append(caller)
            threads.append(threading.Thread(target=caller.send, args=(wire,)))
        for thread in threads:
            thread.start()
        for started in threads:
            started.join()
        yield callers


def head(*fields: str, target: str = '/form', method: str = 'POST') -> bytes:
    """Return the head of a request with a host, an id and further fields."""
    lines = (
        f'{method} {target} HTTP/1.1',
        'Host: example.test',
        'X-Attempt-Id: a',
        *fields,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def chunked(
    size: int, chunk_bytes: int, *fields: str, target: str = '/form'
) -> bytes:
    """Return a request with a chunked body that lacks its last chunk.

    Args:
        size: Size of the body without the last chunk.
        chunk_bytes: Size of each chunk.
        *fields: Further fields of the head.
        target: Path of the request.
    """
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, chunk_bytes * b'x')
    start = head('Transfer-Encoding: chunked', *fields, target=target)
    return start + size // chunk_bytes * chunk


def sized(size: int, *fields: str, target: str = '/form') -> bytes:
    """Return a request with a body whose length is announced."""
    start = head(f'Content-Length: {size}', *fields, target=target)
    return start + size * b'x'


def short(size: int, *fields: str) -> bytes:
    """Return a request whose announced body lacks its last byte."""
    start = head(f'Content-Length: {size}', *fields)
    return start + (size - 1) * b'x'


def endless_trailer(start: bytes, size: int, target: str = '/form') -> bytes:
    """Return a request with an incomplete field after its chunked body.

    Args:
        start: Start of the field.
        size: Number of bytes after it.
        target: Path of the request.
    """
    body = b'1\r\nx\r\n0\r\n'
    sent_head = head('Transfer-Encoding: chunked', target=target)
    return sent_head + body + start + size * b'x'


def endless_head(size: int) -> bytes:
    """Return a head whose last field has no end."""
    return head()[:-2] + b'x-field: ' + size * b'x'


def turns(program: str, count: int, size: int, target: str) -> bytes:
    """Return turns of a program, each with a whole body, one after the other."""
    fields = (
        f'Content-Length: {size}',
        f'X-Program-Id: {program}',
        'X-Token-Counts: 1,1',
    )
    start = head(*fields, target=target)
    return b''.join(
        start.replace(b'Attempt-Id: a', f'Attempt-Id: {program}-{n}'.encode())
        + size * b'x'
        for n in range(count)
    )


def pipelined(count: int) -> bytes:
    """Return requests at a path that no route has, one after the other."""
    return count * head(target='/none', method='GET')


def incomplete_head(size: int) -> bytes:
    """Return a head of many short fields that lacks its end."""
    start = head()[:-2]
    field = b'a:b\r\n'
    return start + (size - len(start)) // len(field) * field
