"""HTTP API of the platform's operators, backed by the control group."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from acaciaramp.coordination.codec import pack_table, unpack_table
from acaciaramp.coordination.messages import (
    ControlRequest,
    Evacuate,
    OrderOutcome,
    OrderReply,
    QueryRetirement,
    ReadState,
    RetireOrder,
    StateReply,
    StoreTable,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.caller import Caller, announced_bytes
from acaciaramp.metrics.names import BadInput, Counter
from acaciaramp.platform.config import decode_table
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.routing.checks import InvalidTableError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.follower import Follower
    from acaciaramp.metrics.client import Metrics

logger = get_logger('operators')

_MAX_BODY_BYTES = 16_777_216
_BODY_TIMEOUT_MS = 10_000
# Clients of operators try another instance after 1 s without a response.
_REPLY_TIMEOUT_MS = 900
_JSON_HEADER = (b'content-type', b'application/json')
_RETIRE_PREFIX = '/v1/retire/'
_EVACUATION_PREFIX = '/v1/evacuations/'
_BEGIN = 'begin'
_FINISH = 'finish'
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
# An order to retire is refused if too few instances would be left.
_RETIRE_STATUSES = types.MappingProxyType(
    {
        OrderOutcome.DONE: _OK,
        OrderOutcome.UNKNOWN: _NOT_FOUND,
        OrderOutcome.REFUSED: _CONFLICT,
    }
)


class _Response(NamedTuple):
    status: int
    body: bytes = b'{}'


def make_operator_app(
    follower: Follower, metrics: Metrics, clock: Clock
) -> Callable[..., Awaitable[None]]:
    """Create the ASGI application that serves operators.

    Args:
        follower: Sends requests to the leader of the control group.
        metrics: Counts invalid configs.
        clock: Clock for the time limit of bodies.
    """
    codec = PlatformCodec()

    async def app(scope: Any, receive: Any, send: Any) -> None:
        caller = Caller(
            receive,
            send,
            should_close=_never_close,
            announced_bytes=announced_bytes(scope['headers']),
        )
        call = f'{scope["method"]} {scope["path"]}'
        try:
            body = await _read_body(caller, clock)
            if body is None:
                return
            response = await _handle_call(follower, call, body)
        except InvalidTableError as exc:
            metrics.count(Counter.BAD_INPUT, BadInput.TABLE)
            logger.warning(
                'A config from an operator is invalid; it is rejected.',
                mistakes=exc,
            )
            refusal = CallError(ErrorCode.BAD_REQUEST, str(exc)).refusal
            await caller.send_response(*codec.write_refusal(refusal))
            return
        except CallError as exc:
            logger.warning(
                'An operator request was refused.',
                call=call,
                reason=exc.refusal.message,
            )
            await caller.send_response(*codec.write_refusal(exc.refusal))
            return
        logger.info(
            'An operator request was answered.',
            call=call,
            status=response.status,
        )
        length = (b'content-length', b'%d' % len(response.body))
        await caller.send_response(
            response.status, [_JSON_HEADER, length], response.body
        )

    return app


async def _read_body(caller: Caller, clock: Clock) -> bytes | None:
    try:
        with clock.timeout(_BODY_TIMEOUT_MS):
            return await caller.read_body(_MAX_BODY_BYTES)
    except TimeoutError:
        raise CallError(
            ErrorCode.BODY_TIMEOUT, 'the body did not come in time'
        ) from None


def _never_close() -> bool:
    return False


async def _handle_call(follower: Follower, call: str, body: bytes) -> _Response:
    method, _, path = call.partition(' ')
    if call == 'POST /v1/config/replace':
        return await _replace_config(follower, body)
    if call == 'GET /v1/config/read':
        return await _read_config(follower)
    if path.startswith(_RETIRE_PREFIX):
        name, _, verb = path.removeprefix(_RETIRE_PREFIX).partition('/')
        if (method, verb) == ('POST', _BEGIN):
            outcome = await _send_order(follower, RetireOrder(name))
            return _Response(_RETIRE_STATUSES[outcome])
        if (method, verb) == ('GET', 'read'):
            return _retirement_response(
                await _send_order(follower, QueryRetirement(name))
            )
    if method == 'POST' and path.startswith(_EVACUATION_PREFIX):
        zone, _, verb = path.removeprefix(_EVACUATION_PREFIX).rpartition('/')
        if zone and verb in {_BEGIN, _FINISH}:
            order = Evacuate(zone, has_begun=verb == _BEGIN)
            await follower.request(order, StateReply, _REPLY_TIMEOUT_MS)
            return _Response(_OK)
    raise CallError(ErrorCode.NOT_FOUND, f'there is no call "{call}"')


async def _read_config(follower: Follower) -> _Response:
    """Return the newest config, as the leader confirms its version.

    The config itself is sent only if another version has arrived here.
    """
    held = follower.table
    version = held.version
    body = held.body
    state = await follower.request(
        ReadState(known=version), StateReply, _REPLY_TIMEOUT_MS
    )
    if not state.version:
        # No config has been stored yet.
        return _Response(_UNAVAILABLE)
    if state.version != version:
        body = unpack_table(state.body)
    return _Response(_OK, body)


async def _replace_config(follower: Follower, body: bytes) -> _Response:
    table = decode_table(body)
    state = await follower.request(
        StoreTable(table.version, pack_table(body)),
        StateReply,
        _REPLY_TIMEOUT_MS,
    )
    logger.info(
        'A config was stored; acknowledging it.',
        version=table.version,
        newest=state.version,
    )
    return _Response(_OK)


async def _send_order(follower: Follower, req: ControlRequest) -> OrderOutcome:
    reply = await follower.request(req, OrderReply, _REPLY_TIMEOUT_MS)
    return reply.outcome


def _retirement_response(outcome: OrderOutcome) -> _Response:
    if outcome is OrderOutcome.UNKNOWN:
        return _Response(_NOT_FOUND)
    return _Response(_OK, msgspec.json.encode({'state': outcome.value}))
