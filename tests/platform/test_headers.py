"""The platform's headers are decoded and encoded as it documents them."""

from __future__ import annotations

from typing import Any

import pytest

from acaciaramp.errors import CallError, ErrorCode, Refusal
from acaciaramp.forwarding.messages import EndpointLoad, TurnParams
from acaciaramp.ids import ProgramId, WorkspaceId
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.scheduling.expected_finish import PromptPart, RequestWork
from acaciaramp.util.http_protocol import target_extension
from acaciaramp.verdicts import Verdict
from tests import builders as build

CODEC = PlatformCodec()
REQUIRED_HEADERS = [(b'host', b'Example.test:80'), (b'x-attempt-id', b'a1')]


def scope(*headers: tuple[bytes, bytes], **changes: Any) -> dict[str, Any]:
    return {
        'method': 'POST',
        'extensions': target_extension(b'/chat/%31'),
        'headers': [*REQUIRED_HEADERS, *headers],
    } | changes


def endpoint_headers(
    *headers: tuple[bytes, bytes], **changes: Any
) -> list[Any]:
    inbound = CODEC.read_request(scope(*headers, **changes))
    return CODEC.write_request(
        inbound, build.listed_endpoint(), WorkspaceId('w'), 700, 5
    )


def test_request_is_decoded() -> None:
    inbound = CODEC.read_request(
        scope(
            (b'authorization', b'Bearer k1'),
            (b'x-deadline-ms', b'3000'),
            (b'x-affinity-key', b'thing'),
            extensions=target_extension(b'/chat/%31?q=1'),
        )
    )
    assert inbound.host == 'example.test'
    assert inbound.target == b'/chat/%31?q=1'
    assert inbound.path == '/chat/%31'
    assert (inbound.attempt, inbound.key) == ('a1', 'k1')
    assert (inbound.wait_ms, inbound.object_key) == (3_000, 'thing')


# Guards against a target that is put together again without its empty query.
@pytest.mark.parametrize('target', [b'/chat/1?', b'/chat/1??', b'//chat/?a=?'])
def test_target_is_kept_as_it_was_sent(target: bytes) -> None:
    inbound = CODEC.read_request(scope(extensions=target_extension(target)))
    assert inbound.target == target
    assert inbound.path == target.partition(b'?')[0].decode()


def test_turn_params_are_decoded() -> None:
    inbound = CODEC.read_request(
        scope(
            (b'x-program-id', b'p'),
            (b'x-session-id', b's'),
            (b'x-token-budget', b'2288'),
            (b'x-token-counts', b'1840,286'),
            (b'x-previous-turn', b'a0'),
            (b'x-program-deadline-ms', b'1250'),
        )
    )
    assert inbound.turn == TurnParams(
        program=ProgramId('p'),
        session_id='s',
        budget=2_288,
        most_tokens=286,
        previous='a0',
        program_left_ms=1_250,
        prompt_tokens=1_840,
    )


@pytest.mark.parametrize(
    ('text', 'left_ms'),
    [(b'0', 0), (b'-40', 0), (b'soon', None), (b'', None), (b'-', None)],
)
def test_time_left_of_a_program_is_over_or_unknown(
    text: bytes, left_ms: int | None
) -> None:
    """Guards against a late program that ranks as one without a deadline."""
    inbound = CODEC.read_request(scope((b'x-program-deadline-ms', text)))
    assert inbound.turn.program_left_ms == left_ms


@pytest.mark.parametrize(
    ('verdict', 'expected'),
    [(Verdict.NOT_RUN, 503), (Verdict.MAY_HAVE_RUN, 502)],
)
@pytest.mark.parametrize(
    'code',
    [ErrorCode.OVERLOADED, ErrorCode.QUEUE_FULL, ErrorCode.QUEUE_TIMEOUT],
)
def test_refusals_under_pressure_say_not_run_only_if_that_is_true(
    code: ErrorCode, verdict: Verdict, expected: int
) -> None:
    refusal = Refusal(
        code=code, message='m', verdict=verdict, retry_after_ms=250
    )
    status, headers, _ = CODEC.write_refusal(refusal)
    assert status == expected
    assert (b'retry-after', b'0.250') in headers


@pytest.mark.parametrize(
    ('headers', 'resumed'),
    [
        ([], None),
        ([(b'last-event-id', b'4'), (b'resumes', b'a0')], 'a0'),
        ([(b'resumes', b'a0')], 'a0'),
        ([(b'last-event-id', b'4')], ''),
    ],
)
def test_the_resumed_stream_is_decoded(
    headers: list[tuple[bytes, bytes]], resumed: str | None
) -> None:
    assert CODEC.read_request(scope(*headers)).resumed == resumed
    assert set(headers) <= set(endpoint_headers(*headers))


def test_headers_reserved_for_the_system_are_replaced() -> None:
    headers = endpoint_headers(
        (b'x-tenant', b'forged'),
        (b'x-expect-instance', b'forged'),
        (b'x-kv-hold', b'1'),
        (b'x-pin-ms', b'1'),
        (b'x-kv-backup', b'1'),
        (b'kv-from', b'1'),
        (b'kv-fetch', b'1'),
        (b'x-expect-version', b'1'),
        (b'authorization', b'Bearer k1'),
    )
    assert sorted(headers) == [
        (b'content-length', b'5'),
        (b'host', b'Example.test:80'),
        (b'x-attempt-id', b'a1'),
        (b'x-deadline-ms', b'700'),
        (b'x-expect-instance', b'e-1'),
        (b'x-tenant', b'w'),
    ]


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = endpoint_headers(
        (b'connection', b'keep-alive, x-mine'),
        (b'keep-alive', b'timeout=3'),
        (b'x-mine', b'1'),
        (b'transfer-encoding', b'chunked'),
        (b'x-other', b'2'),
    )
    names = [name for name, _ in headers]
    assert b'x-other' in names
    assert not {b'connection', b'keep-alive', b'x-mine'} & set(names)
    assert b'transfer-encoding' not in names


@pytest.mark.parametrize(
    'headers',
    [
        [(b'content-length', b'3'), (b'content-length', b'4')],
        [(b'content-length', b'3'), (b'transfer-encoding', b'chunked')],
        [(b'host', b'other.test')],
    ],
)
def test_request_with_ambiguous_framing_is_refused(
    headers: list[tuple[bytes, bytes]],
) -> None:
    with pytest.raises(CallError) as caught:
        CODEC.read_request(scope(*headers))
    assert caught.value.refusal.code is ErrorCode.BAD_REQUEST


def test_response_is_decoded() -> None:
    head = CODEC.read_response(
        200,
        [
            (b'X-Attempt-Id', b'a1'),
            (b'X-Instance-Load', b'3,0,8'),
            (b'Keep-Alive', b'timeout=4'),
            (b'Connection', b'close'),
            (b'X-Server-Signature', b'sig'),
        ],
    )
    assert head.attempt == 'a1'
    assert head.load == EndpointLoad(3, 0, 8)
    assert head.idle_ms == 4_000
    assert not head.is_not_run
    assert head.headers == [
        (b'x-attempt-id', b'a1'),
        (b'x-instance-load', b'3,0,8'),
        (b'x-server-signature', b'sig'),
    ]


@pytest.mark.parametrize(
    ('status', 'headers', 'is_not_run'),
    [
        (503, [(b'x-not-executed', b'1')], True),
        (503, [], False),
        (421, [], True),
        (500, [], False),
    ],
)
def test_only_explicit_signals_mean_that_a_request_was_not_run(
    status: int, headers: list[tuple[bytes, bytes]], is_not_run: bool
) -> None:
    assert CODEC.read_response(status, headers).is_not_run is is_not_run


@pytest.mark.parametrize('load', ['', 'x', '1,2', '1,,3,4', '-1,2,3'])
def test_malformed_load_is_none(load: str) -> None:
    headers = [(b'x-instance-load', load.encode())]
    assert CODEC.read_response(200, headers).load is None


@pytest.mark.parametrize(
    ('text', 'duration_percent'),
    [
        ('1,2,3', None),
        ('1,2,3,250', 250),
        ('1, 2, 3, 250', 250),
        ('1,2,3,250,7,x', 250),
        ('1,2,3,', None),
        ('1,2,3,-5', None),
    ],
)
def test_load_of_more_than_three_figures_is_read(
    text: str, duration_percent: int | None
) -> None:
    headers = [(b'x-instance-load', text.encode())]
    load = CODEC.read_response(200, headers).load
    assert load == EndpointLoad(1, 2, 3, duration_percent)


@pytest.mark.parametrize(
    ('status', 'text', 'limit_per_s'),
    [
        (200, '3.8', 3.8),
        (503, '12', 12),
        (200, '0', 0),
        (421, '3.8', None),
        (200, '', None),
        (200, '-1', None),
        (200, '1e9', None),
        (200, 'nan', None),
        (200, '1.', None),
        (200, '9' * 400, None),
    ],
)
def test_a_request_limit_is_decoded(
    status: int, text: str, limit_per_s: float | None
) -> None:
    headers = [(b'Server-Limit', text.encode())]
    head = CODEC.read_response(status, headers)
    assert head.limit_per_s == limit_per_s
    assert head.headers == [(b'server-limit', text.encode())]


@pytest.mark.parametrize(
    ('status', 'values', 'is_leaving'),
    [
        (200, ['1'], True),
        (503, [' 1 '], True),
        (200, ['1', '1'], True),
        (200, ['no', '1'], True),
        (421, ['1'], False),
        (200, ['yes'], False),
        (200, ['0'], False),
        (200, [''], False),
        (200, [], False),
    ],
)
def test_the_word_of_a_leaving_endpoint_is_decoded(
    status: int, values: list[str], *, is_leaving: bool
) -> None:
    headers = [(b'Server-Leaving', text.encode()) for text in values]
    assert CODEC.read_response(status, headers).is_leaving is is_leaving


NOT_RUN_STATUSES = {408, 421, 429, 503}


@pytest.mark.parametrize('code', list(ErrorCode))
def test_statuses_distinguish_requests_that_may_have_run(
    code: ErrorCode,
) -> None:
    not_run = Refusal(code=code, message='m', verdict=Verdict.NOT_RUN)
    may_have = Refusal(code=code, message='m', verdict=Verdict.MAY_HAVE_RUN)
    assert CODEC.write_refusal(not_run)[0] not in {502, 504}
    assert CODEC.write_refusal(may_have)[0] in {502, 504}


def test_refusal_has_a_retry_after_header() -> None:
    refusal = Refusal(
        code=ErrorCode.RATE_LIMITED, message='m', retry_after_ms=250
    )
    status, headers, body = CODEC.write_refusal(refusal)
    assert status == 429
    assert (b'retry-after', b'0.250') in headers
    assert b'rate_limited' in body


@pytest.mark.parametrize('digits', [b'\xb2', b'9' * 5_000, b'-1', b''])
@pytest.mark.parametrize(
    'name', [b'x-deadline-ms', b'x-token-budget', b'x-token-counts']
)
def test_numbers_that_are_none_are_no_internal_error(
    name: bytes, digits: bytes
) -> None:
    inbound = CODEC.read_request(
        scope((name, b'1,%s' % digits), (name, digits))
    )
    assert inbound.attempt == 'a1'


@pytest.mark.parametrize('digits', [b'\xb2', b'9' * 5_000])
def test_numbers_of_endpoints_that_are_none_are_ignored(digits: bytes) -> None:
    head = CODEC.read_response(
        200,
        [
            (b'x-instance-load', b'%s,1,2' % digits),
            (b'keep-alive', b'timeout=\xb2'),
            (b'content-length', b'\xb2'),
        ],
    )
    assert (head.idle_ms, head.length) == (None, None)


@pytest.mark.parametrize(
    'header',
    [
        (b'x-attempt-id', b'a2'),
        (b'host', b'other.test'),
        (b'authorization', b'Bearer k2'),
    ],
)
def test_repeated_identity_is_refused(header: tuple[bytes, bytes]) -> None:
    headers = scope((b'authorization', b'Bearer k1'), header)
    with pytest.raises(CallError) as caught:
        CODEC.read_request(headers)
    assert caught.value.refusal.code is ErrorCode.BAD_REQUEST


@pytest.mark.parametrize(
    ('headers', 'work'),
    [
        ({}, RequestWork()),
        (
            {'x-token-counts': '1460,80'},
            RequestWork(prompt_tokens=1_460, output_tokens=80),
        ),
        (
            {'x-token-counts': '1460,80', 'x-length-hint': '30'},
            RequestWork(prompt_tokens=1_460, output_tokens=30),
        ),
        (
            {'x-token-counts': '1460,80', 'x-length-hint': '300'},
            RequestWork(prompt_tokens=1_460, output_tokens=80),
        ),
        ({'x-length-hint': '30'}, RequestWork(output_tokens=30)),
        (
            {'x-token-counts': 'x,80', 'x-length-hint': '-3'},
            RequestWork(output_tokens=80),
        ),
        (
            {
                'x-token-counts': '1210,80',
                'x-prefix-hash': '5c1e07a2:800, 91bd3f06:410',
            },
            RequestWork(
                prompt_tokens=1_210,
                output_tokens=80,
                parts=(
                    PromptPart('5c1e07a2', 800),
                    PromptPart('91bd3f06', 410),
                ),
            ),
        ),
    ],
)
def test_the_work_of_a_request_is_decoded(
    headers: dict[str, str], work: RequestWork
) -> None:
    raw = [(name.encode(), text.encode()) for name, text in headers.items()]
    assert CODEC.read_request(scope(*raw)).turn.work == work


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        ('a:5,b', (PromptPart('a', 5),)),
        ('a:5,:3,c:4', (PromptPart('a', 5),)),
        ('a:5,b:x,c:4', (PromptPart('a', 5),)),
        (
            'a:80,b:999999999999999999',
            (PromptPart('a', 80), PromptPart('b', 20)),
        ),
        ('a:1,' * 40, (PromptPart('a', 1),) * 32),
        (f'{"a" * 65}:5', ()),
    ],
)
def test_malformed_and_excessive_parts_of_a_prompt_are_left_out(
    text: str, parts: tuple[PromptPart, ...]
) -> None:
    raw = ((b'x-token-counts', b'100,8'), (b'x-prefix-hash', text.encode()))
    assert CODEC.read_request(scope(*raw)).turn.parts == parts
