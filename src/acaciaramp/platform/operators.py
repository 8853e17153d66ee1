"""The platform's calls of operators, answered by the control group."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from acaciaramp.coordination.messages import (
    ControlRequest,
    OrderOutcome,
    OrderReply,
    QueryRetirement,
    ReadState,
    RetireOrder,
    StateReply,
    StoreTable,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.caller import Caller
from acaciaramp.metrics.names import BadInput, Counter
from acaciaramp.platform.config import decode_table
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.routing.checks import InvalidTableError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.coordination.follower import Follower
    from acaciaramp.metrics.client import Metrics

logger = get_logger('operators')

_LONGEST_BODY_BYTES = 16_777_216
# Operators turn to another instance after a second.
_ANSWER_MS = 900
_JSON = (b'content-type', b'application/json')
_RETIRE = '/v1/retire/'
_SUCCESS = 200
_NOT_FOUND = 404
_TOO_FEW_LEFT = 409
_NOT_SURE = 503
_BEGIN_STATUSES = types.MappingProxyType(
    {
        OrderOutcome.DONE: _SUCCESS,
        OrderOutcome.UNKNOWN: _NOT_FOUND,
        OrderOutcome.REFUSED: _TOO_FEW_LEFT,
    }
)


class _Answer(NamedTuple):
    status: int
    body: bytes = b'{}'


def make_operator_app(
    follower: Follower,
    metrics: Metrics,
) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application for operators.

    Args:
        follower: Asks whichever control instance leads.
        metrics: Counts configs that are invalid.
    """
    codec = PlatformCodec()

    async def app(scope: Any, receive: Any, send: Any) -> None:
        caller = Caller(receive, send, closes=_keeps_open)
        call = f'{scope["method"]} {scope["path"]}'
        try:
            body = await caller.read_body(_LONGEST_BODY_BYTES)
            if body is None:
                return
            answer = await _answer(follower, call, body)
        except InvalidTableError as exc:
            metrics.count(Counter.BAD_INPUT, BadInput.TABLE)
            logger.warning('A config is invalid.', mistakes=exc)
            refusal = CallError(ErrorCode.BAD_REQUEST, str(exc)).refusal
            await caller.send_response(*codec.write_refusal(refusal))
            return
        except CallError as exc:
            logger.warning(
                'A call was refused.', call=call, reason=exc.refusal.message
            )
            await caller.send_response(*codec.write_refusal(exc.refusal))
            return
        logger.info('A call was answered.', call=call, status=answer.status)
        length = (b'content-length', b'%d' % len(answer.body))
        await caller.send_response(answer.status, [_JSON, length], answer.body)

    return app


def _keeps_open() -> bool:
    return False


async def _answer(follower: Follower, call: str, body: bytes) -> _Answer:
    method, _, path = call.partition(' ')
    if call == 'POST /v1/config/replace':
        return await _replace(follower, body)
    if call == 'GET /v1/config/read':
        state = await follower.request(ReadState(), StateReply, _ANSWER_MS)
        if not state.version:
            return _Answer(_NOT_SURE)
        return _Answer(_SUCCESS, state.body)
    if path.startswith(_RETIRE):
        name, _, verb = path.removeprefix(_RETIRE).partition('/')
        if (method, verb) == ('POST', 'begin'):
            outcome = await _order(follower, RetireOrder(name))
            return _Answer(_BEGIN_STATUSES[outcome])
        if (method, verb) == ('GET', 'read'):
            return _retirement(await _order(follower, QueryRetirement(name)))
    raise CallError(ErrorCode.NOT_FOUND, f'there is no call "{call}"')


async def _replace(follower: Follower, body: bytes) -> _Answer:
    table = decode_table(body)
    state = await follower.request(
        StoreTable(table.version, body), StateReply, _ANSWER_MS
    )
    logger.info(
        'A config is acknowledged.', version=table.version, newest=state.version
    )
    return _Answer(_SUCCESS)


async def _order(follower: Follower, req: ControlRequest) -> OrderOutcome:
    reply = await follower.request(req, OrderReply, _ANSWER_MS)
    return reply.outcome


def _retirement(outcome: OrderOutcome) -> _Answer:
    if outcome is OrderOutcome.UNKNOWN:
        return _Answer(_NOT_FOUND)
    return _Answer(_SUCCESS, msgspec.json.encode({'state': outcome.value}))
