"""Converts between the platform's HTTP headers and the gateway's messages."""

from __future__ import annotations

import collections
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
from acaciaramp.platform.statuses import http_status
from acaciaramp.scheduling.expected_finish import PromptPart
from acaciaramp.util.http_protocol import request_target
from acaciaramp.util.logs import get_logger
from acaciaramp.util.numbers import parse_count, parse_decimal

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.errors import Refusal
    from acaciaramp.forwarding.messages import RawHeaders
    from acaciaramp.ids import WorkspaceId

logger = get_logger('gateway')

_ATTEMPT = b'x-attempt-id'
_DEADLINE = b'x-deadline-ms'
_EXPECT_INSTANCE = b'x-expect-instance'
_TENANT = b'x-tenant'
_BEARER = b'bearer '
_HOST = b'host'
_CONTENT_LENGTH = b'content-length'
_LEAVING = b'server-leaving'

# Headers that apply to a single connection and are not forwarded.
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
# Headers that only the system may set on a request to an endpoint. A caller has
# no reason to send them; they count as forged.
_SYSTEM_HEADERS = frozenset(
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
# Headers of the caller that an endpoint gets with another value or not at all.
_NOT_FORWARDED = _SYSTEM_HEADERS | {_DEADLINE, b'authorization'}
_UNIQUE_HEADERS = (_CONTENT_LENGTH, _HOST, _ATTEMPT, b'authorization')
_MISDIRECTED_STATUS = 421
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_MS_PER_SECOND = 1000
# Bounds on what callers may state of their prompts, over what engines can hold.
_MAX_TOKENS = 10_000_000
_MAX_PROMPT_PARTS = 32
_MAX_PART_ID = 64


class PlatformCodec:
    """Decodes and encodes the platform's headers."""

    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Decode the request line and headers of an ASGI scope.

        Raises:
            CallError: The request has no id, or its headers contradict each
                other.
        """
        raw: RawHeaders = scope['headers']
        by_name = dict(raw)
        _check_framing(raw)
        attempt = _text(by_name, _ATTEMPT)
        if not attempt:
            raise CallError(ErrorCode.BAD_REQUEST, 'the request has no id')
        target = request_target(scope)
        return InboundRequest(
            attempt=attempt,
            method=scope['method'],
            target=target,
            host=_text(by_name, _HOST).partition(':')[0].lower(),
            path=target.partition(b'?')[0].decode('latin-1'),
            key=_bearer_key(by_name.get(b'authorization', b'')),
            wait_ms=_int_or_none(by_name, _DEADLINE),
            object_key=_text(by_name, b'x-affinity-key'),
            turn=_turn_params(by_name),
            resumed=_resumed(by_name),
            headers=_forwarded_headers(raw, by_name),
            forged=tuple(
                name.decode() for name in by_name if name in _SYSTEM_HEADERS
            ),
        )

    def write_request(
        self,
        inbound: InboundRequest,
        endpoint: Endpoint,
        workspace: WorkspaceId | None,
        left_ms: int | None,
        body_bytes: int,
    ) -> RawHeaders:
        """Return the headers of a request to an endpoint.

        Args:
            inbound: The caller's request.
            endpoint: The endpoint.
            workspace: Workspace of the request, None if it needs no key.
            left_ms: Time left until the deadline of the request, milliseconds;
                None if it has none.
            body_bytes: Length of the body that is sent to the endpoint.
        """
        headers = inbound.headers.copy()
        headers.append((_EXPECT_INSTANCE, endpoint.id.encode()))
        if left_ms is not None:
            headers.append((_DEADLINE, b'%d' % max(1, left_ms)))
        if workspace is not None:
            headers.append((_TENANT, workspace.encode()))
        if body_bytes or inbound.method not in {'GET', 'HEAD'}:
            headers.append((_CONTENT_LENGTH, b'%d' % body_bytes))
        return headers

    def read_response(self, status: int, headers: RawHeaders) -> ResponseHead:
        """Decode the status and headers of an endpoint's response."""
        lowered = [(name.lower(), text) for name, text in headers]
        by_name = dict(lowered)
        is_not_run = (
            b'x-not-executed' in by_name or status == _MISDIRECTED_STATUS
        )
        idle_ms = _keep_alive_ms(_text(by_name, b'keep-alive'))
        return ResponseHead(
            status=status,
            headers=[item for item in lowered if item[0] not in _HOP_BY_HOP],
            attempt=_text(by_name, _ATTEMPT),
            is_not_run=is_not_run,
            load=_endpoint_load(_text(by_name, b'x-instance-load')),
            idle_ms=idle_ms,
            length=_int_or_none(by_name, _CONTENT_LENGTH),
            limit_per_s=_request_limit(status, by_name),
            is_leaving=_is_leaving(status, lowered),
        )

    def write_health_probe(self, endpoint: Endpoint) -> RawHeaders:
        """Return the headers of a health probe of an endpoint."""
        host = f'[{endpoint.host}]' if ':' in endpoint.host else endpoint.host
        return [
            (_HOST, f'{host}:{endpoint.port}'.encode()),
            (_EXPECT_INSTANCE, endpoint.id.encode()),
        ]

    def is_serving(
        self, endpoint: Endpoint, status: int, headers: RawHeaders
    ) -> bool:
        """Return whether an endpoint says that it serves requests.

        Another endpoint may have been given its address; it states its own id, or
        that the probe was misdirected.
        """
        head = self.read_response(status, headers)
        named = _text(dict(head.headers), b'x-instance-id')
        is_other = named not in {'', endpoint.id}
        is_success = _FIRST_SUCCESS <= status < _FIRST_REDIRECT
        return is_success and not (is_other or head.is_leaving)

    def write_refusal(self, refusal: Refusal) -> tuple[int, RawHeaders, bytes]:
        """Return the status, headers and body of an error response."""
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
            (_CONTENT_LENGTH, b'%d' % len(body)),
        ]
        if refusal.retry_after_ms is not None:
            seconds = refusal.retry_after_ms / _MS_PER_SECOND
            headers.append((b'retry-after', b'%.3f' % seconds))
        return http_status(refusal), headers, body


def _check_framing(raw: RawHeaders) -> None:
    """Refuse a request whose framing, host, id or key is ambiguous.

    Two parsers could otherwise disagree on where the request ends, where it is
    routed or whose it is (request smuggling).
    """
    names = collections.Counter(name for name, _ in raw)
    is_repeated = any(names[name] > 1 for name in _UNIQUE_HEADERS)
    has_length = _CONTENT_LENGTH in names
    if is_repeated or (has_length and b'transfer-encoding' in names):
        raise CallError(
            ErrorCode.BAD_REQUEST, 'headers of the request contradict'
        )


def _forwarded_headers(
    raw: RawHeaders, by_name: dict[bytes, bytes]
) -> RawHeaders:
    connection_headers = {
        item.strip().lower()
        for item in by_name.get(b'connection', b'').split(b',')
    }
    return [
        (name, text)
        for name, text in raw
        if name not in _HOP_BY_HOP
        and name not in _NOT_FORWARDED
        and name not in connection_headers
        and name != _CONTENT_LENGTH
    ]


def _turn_params(by_name: dict[bytes, bytes]) -> TurnParams:
    program = _text(by_name, b'x-program-id')
    # Number of prompt tokens, then the output token limit.
    counts = _text(by_name, b'x-token-counts').split(',')
    prompt_tokens = _token_count(counts[0])
    return TurnParams(
        program=ProgramId(program) if program else None,
        session_id=_text(by_name, b'x-session-id'),
        budget=_int_or_none(by_name, b'x-token-budget'),
        most_tokens=_output_tokens(counts),
        previous=_text(by_name, b'x-previous-turn') or None,
        program_left_ms=_time_left_ms(_text(by_name, b'x-program-deadline-ms')),
        prompt_tokens=prompt_tokens,
        expected_tokens=_length_hint(by_name),
        parts=_prompt_parts(_text(by_name, b'x-prefix-hash'), prompt_tokens),
    )


def _time_left_ms(text: str) -> int | None:
    """Return a time that is left; 0 if a negative number says that it is over."""
    left_ms = parse_count(text.removeprefix('-'))
    return 0 if left_ms is not None and text.startswith('-') else left_ms


def _resumed(by_name: dict[bytes, bytes]) -> str | None:
    """Return the id of the request that began the stream to be resumed.

    It is empty if the request has only the position in a stream, and None if it
    has neither.
    """
    if b'resumes' in by_name or b'last-event-id' in by_name:
        return _text(by_name, b'resumes')
    return None


def _output_tokens(counts: list[str]) -> int:
    if len(counts) < 2:
        return 0
    return parse_count(counts[1].strip()) or 0


def _token_count(text: str) -> int:
    """Return a number of tokens within a limit, 0 if it is malformed."""
    return min(parse_count(text.strip()) or 0, _MAX_TOKENS)


def _length_hint(by_name: dict[bytes, bytes]) -> int | None:
    hint = _int_or_none(by_name, b'x-length-hint')
    return None if hint is None else min(hint, _MAX_TOKENS)


def _prompt_parts(text: str, prompt_tokens: int) -> tuple[PromptPart, ...]:
    """Parse ``ID:TOKENS,...`` up to the first malformed part.

    The parts together are no longer than the prompt.
    """
    parts: list[PromptPart] = []
    left = prompt_tokens
    for item in text.split(',')[:_MAX_PROMPT_PARTS]:
        name, _, tokens_text = item.strip().partition(':')
        tokens = min(_token_count(tokens_text), left)
        if not tokens or not name or len(name) > _MAX_PART_ID:
            break
        left -= tokens
        parts.append(PromptPart(name, tokens))
    return tuple(parts)


def _bearer_key(authorization: bytes) -> str | None:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return None
    return authorization[len(_BEARER) :].strip().decode('latin-1')


def _endpoint_load(text: str) -> EndpointLoad | None:
    """Parse a load ``RUNNING,WAITING,SLOTS,DURATION``; None if it is malformed.

    The duration may be absent. It is left out if it is malformed, and figures
    after it are ignored.
    """
    parsed = [parse_count(item.strip()) for item in text.split(',')]
    numbers = [number for number in parsed[:3] if number is not None]
    if len(numbers) != 3:
        return None
    running, waiting, slots = numbers
    return EndpointLoad(running, waiting, slots, *parsed[3:4])


def _request_limit(status: int, by_name: dict[bytes, bytes]) -> float | None:
    """Return the requests per second that the endpoint accepts, if stated.

    Another endpoint may have sent the response to a misdirected request.
    """
    if status == _MISDIRECTED_STATUS:
        return None
    return parse_decimal(_text(by_name, b'server-limit'))


def _is_leaving(status: int, headers: RawHeaders) -> bool:
    """Return whether the endpoint says that it is leaving.

    Another endpoint may have sent the response to a misdirected request. A
    header that is repeated counts once, one with another value not at all.
    """
    if status == _MISDIRECTED_STATUS:
        return False
    said = {text.strip() for name, text in headers if name == _LEAVING}
    odd = said - {b'1'}
    if odd:
        logger.warning(
            'An endpoint says in an unknown way that it is leaving; ignoring it.',
            values=sorted(text.decode('latin-1') for text in odd),
        )
    return b'1' in said


def _keep_alive_ms(text: str) -> int | None:
    """Return the ``timeout`` of a ``Keep-Alive`` header, milliseconds."""
    for item in text.split(','):
        name, _, seconds = item.strip().partition('=')
        timeout_s = parse_count(seconds)
        if name.lower() == 'timeout' and timeout_s is not None:
            return timeout_s * _MS_PER_SECOND
    return None


def _text(by_name: dict[bytes, bytes], name: bytes) -> str:
    return by_name.get(name, b'').decode('latin-1').strip()


def _int_or_none(by_name: dict[bytes, bytes], name: bytes) -> int | None:
    return parse_count(_text(by_name, name))
