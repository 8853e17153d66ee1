"""A small HTTP/1.1 implementation for the stand-ins."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

_HEAD_LIMIT = 65_536
_ERRORS = (OSError, asyncio.IncompleteReadError, ValueError)


@dataclasses.dataclass
class Head:
    """The first line and the headers of a message.

    Attributes:
        words: The three words of the first line.
        headers: Headers by lower-case name.
    """

    words: list[str]
    headers: dict[str, str]


@dataclasses.dataclass
class Answer:
    """What a client got.

    Attributes:
        status: HTTP status; 0 if no head arrived.
        headers: Headers by lower-case name.
        body: The bytes of the body that arrived.
        is_complete: Whether the response ended as its framing says.
        error: Why it did not, or why there was none.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    error: str = ''

    @property
    def events(self) -> list[str]:
        """The data of each whole event of a stream."""
        whole, separator, _ = self.body.decode().rpartition('\n\n')
        if not separator:
            return []
        return [
            '\n'.join(
                line.removeprefix('data: ')
                for line in event.split('\n')
                if line.startswith('data: ')
            )
            for event in whole.split('\n\n')
        ]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Head(first.split(' ', 2), headers)


async def read_sized_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read the body of a request, which has a length or no body."""
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def _read_body(
    reader: asyncio.StreamReader, answer: Answer, longest_gap_s: float
) -> None:
    if answer.headers.get('transfer-encoding', '') == 'chunked':
        size = -1
        while size:
            async with asyncio.timeout(longest_gap_s):
                size = int(await reader.readuntil(b'\r\n'), 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif 'content-length' in answer.headers:
        left = int(answer.headers['content-length'])
        while left:
            part = await reader.read(left)
            if not part:
                raise asyncio.IncompleteReadError(b'', left)
            answer.body += part
            left -= len(part)
    else:
        while part := await reader.read(_HEAD_LIMIT):
            answer.body += part


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
    longest_gap_s: float = 2.0,
) -> Answer:
    """Send a request on a new connection and return what comes back.

    The client leaves after ``timeout_s``, or after a pause of ``longest_gap_s``
    between two parts of a body.
    """
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=2**22
            )
            sent = {'content-length': str(len(body)), **headers}
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in sent.items()]
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            head = await read_head(reader)
            answer.status = int(head.words[1])
            answer.headers = head.headers
            await _read_body(reader, answer, longest_gap_s)
            answer.is_complete = True
    except TimeoutError:
        answer.error = 'the client gave up'
    except _ERRORS as exc:
        answer.error = repr(exc)
    finally:
        if writer is not None:
            writer.close()
    return answer


def response_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the encoded head of a response."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode()


def json_response(status: int, content: Any) -> bytes:
    """Return an encoded response with a JSON body."""
    body = json.dumps(content).encode()
    headers = {
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
    }
    return response_head(status, headers) + body
