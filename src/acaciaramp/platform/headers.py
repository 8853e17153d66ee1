"""The platform's headers as the gateway's requests and answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.messages import (
    EndpointLoad,
    InboundRequest,
    ResponseHead,
    TurnParams,
)
from acaciaramp.ids import ProgramId
from acaciaramp.platform.statuses import status_of

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.errors import Refusal
    from acaciaramp.forwarding.messages import RawHeaders
    from acaciaramp.ids import WorkspaceId

_ATTEMPT = b'x-attempt-id'
_DEADLINE = b'x-deadline-ms'
_EXPECT_INSTANCE = b'x-expect-instance'
_TENANT = b'x-tenant'
_BEARER = b'bearer '
_HOST = b'host'
_LENGTH = b'content-length'

# Headers that concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Headers that only the system may set on a request to an endpoint, and that a
# caller has no reason to send.
_FORGEABLE = frozenset(
    (
        _TENANT,
        _EXPECT_INSTANCE,
        b'kv-fetch',
        b'kv-from',
        b'x-expect-version',
        b'x-kv-backup',
        b'x-kv-hold',
        b'x-pin-ms',
    )
)
# What an endpoint gets in another form than the caller sent it, or not at all.
_SYSTEM_ONLY = _FORGEABLE | {_DEADLINE, b'authorization'}
_MISDIRECTED = 421
_MS_PER_SECOND = 1000


class PlatformCodec:
    """Reads and writes the platform's headers."""

    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Return the request of an ASGI scope, without its body.

        Raises:
            CallError: The headers contradict each other.
        """
        raw: RawHeaders = scope['headers']
        named = dict(raw)
        _check_framing(raw)
        attempt = _text(named, _ATTEMPT)
        if not attempt:
            raise CallError(ErrorCode.BAD_REQUEST, 'the request has no id')
        target = scope['raw_path']
        if scope['query_string']:
            target = b'%s?%s' % (target, scope['query_string'])
        return InboundRequest(
            attempt=attempt,
            method=scope['method'],
            target=target,
            host=_text(named, _HOST).partition(':')[0].lower(),
            path=scope['raw_path'].decode('latin-1'),
            key=_key(named.get(b'authorization', b'')),
            wait_ms=_number(named, _DEADLINE),
            object_key=_text(named, b'x-affinity-key'),
            turn=_turn(named),
            headers=_forwarded(raw, named),
            forged=tuple(name.decode() for name in named if name in _FORGEABLE),
        )

    def write_request(
        self,
        inbound: InboundRequest,
        endpoint: Endpoint,
        workspace: WorkspaceId | None,
        left_ms: int | None,
        body_bytes: int,
    ) -> RawHeaders:
        """Return the headers of a request for an endpoint.

        Args:
            inbound: The caller's request.
            endpoint: Where it goes.
            workspace: For whom it runs.
            left_ms: Time until nobody waits for the answer any more.
            body_bytes: Length of the body that the endpoint gets.
        """
        headers = inbound.headers.copy()
        headers.append((_EXPECT_INSTANCE, endpoint.id.encode()))
        if left_ms is not None:
            headers.append((_DEADLINE, b'%d' % max(1, left_ms)))
        if workspace is not None:
            headers.append((_TENANT, workspace.encode()))
        if body_bytes or inbound.method not in {'GET', 'HEAD'}:
            headers.append((_LENGTH, b'%d' % body_bytes))
        return headers

    def read_response(self, status: int, headers: RawHeaders) -> ResponseHead:
        """Return the beginning of an endpoint's answer."""
        lowered = [(name.lower(), text) for name, text in headers]
        named = dict(lowered)
        is_not_run = b'x-not-executed' in named or status == _MISDIRECTED
        idle_ms = _idle_ms(_text(named, b'keep-alive'))
        return ResponseHead(
            status=status,
            headers=[item for item in lowered if item[0] not in _HOP_BY_HOP],
            attempt=_text(named, _ATTEMPT),
            is_not_run=is_not_run,
            load=_load(_text(named, b'x-instance-load')),
            idle_ms=idle_ms,
            length=_number(named, _LENGTH),
        )

    def write_refusal(self, refusal: Refusal) -> tuple[int, RawHeaders, bytes]:
        """Return status, headers and body that tell a caller of a refusal."""
        body = msgspec.json.encode(
            {
                'error': {
                    'code': refusal.code.value,
                    'message': refusal.message,
                    'verdict': refusal.verdict.value,
                }
            }
        )
        headers = [
            (b'content-type', b'application/json'),
            (_LENGTH, b'%d' % len(body)),
        ]
        if refusal.retry_after_ms is not None:
            seconds = refusal.retry_after_ms / _MS_PER_SECOND
            headers.append((b'retry-after', b'%.3f' % seconds))
        return status_of(refusal), headers, body


def _check_framing(raw: RawHeaders) -> None:
    """Refuse a request whose length can be read in two ways."""
    lengths = [text for name, text in raw if name == _LENGTH]
    hosts = [text for name, text in raw if name == _HOST]
    is_chunked = any(name == b'transfer-encoding' for name, _ in raw)
    if len(lengths) > 1 or len(hosts) > 1 or (lengths and is_chunked):
        raise CallError(
            ErrorCode.BAD_REQUEST, 'headers of the request contradict'
        )


def _forwarded(raw: RawHeaders, named: dict[bytes, bytes]) -> RawHeaders:
    listed = {
        item.strip().lower()
        for item in named.get(b'connection', b'').split(b',')
    }
    return [
        (name, text)
        for name, text in raw
        if name not in _HOP_BY_HOP
        and name not in _SYSTEM_ONLY
        and name not in listed
        and name != _LENGTH
    ]


def _turn(named: dict[bytes, bytes]) -> TurnParams:
    program = _text(named, b'x-program-id')
    # Prompt tokens, then the most tokens of the output.
    counts = _text(named, b'x-token-counts').split(',')
    return TurnParams(
        program=ProgramId(program) if program else None,
        session_id=_text(named, b'x-session-id'),
        budget=_number(named, b'x-token-budget'),
        most_tokens=_whole(counts[1]) if len(counts) > 1 else 0,
        previous=_text(named, b'x-previous-turn') or None,
    )


def _key(authorization: bytes) -> str | None:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return None
    return authorization[len(_BEARER) :].strip().decode('latin-1')


def _load(text: str) -> EndpointLoad | None:
    """Return a load that is written as running, waiting, slots."""
    numbers = text.split(',')
    if len(numbers) != 3 or not all(item.strip().isdigit() for item in numbers):
        return None
    running, waiting, slots = map(int, numbers)
    return EndpointLoad(running, waiting, slots)


def _idle_ms(text: str) -> int | None:
    """Return the time of a ``Keep-Alive`` header."""
    for item in text.split(','):
        name, _, seconds = item.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdigit():
            return int(seconds) * _MS_PER_SECOND
    return None


def _text(named: dict[bytes, bytes], name: bytes) -> str:
    return named.get(name, b'').decode('latin-1').strip()


def _number(named: dict[bytes, bytes], name: bytes) -> int | None:
    text = _text(named, name)
    return int(text) if text.isdigit() else None


def _whole(text: str) -> int:
    text = text.strip()
    return int(text) if text.isdigit() else 0
