"""Answers the requests of other instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING

import anyio
import pynng

from acaciaramp.errors import CallError, ErrorCode, Refusal
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.messages import (
    PROTOCOL_VERSION,
    Channel,
    FrameError,
    ReplyFrame,
    RequestFrame,
    decode,
    encode,
)
from acaciaramp.peering.sockets import SocketClosedError, receive, send
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.metrics.client import Metrics

logger = get_logger('peering')

LONGEST_FRAME_BYTES = 67_108_864
Handler = Callable[[bytes], Awaitable[bytes]]
Handlers = Mapping[Channel, Handler]


async def serve_peers(
    url: str,
    handlers: Handlers,
    metrics: Metrics,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer requests until cancelled.

    Args:
        url: Where to listen, ``tcp://IP:PORT``.
        handlers: Carries out the requests of each channel.
        metrics: Counts rejected frames.
        task_status: Told when the port is open.
    """
    with pynng.Pair1(polyamorous=True) as sock:
        sock.recv_max_size = LONGEST_FRAME_BYTES
        sock.listen(url)
        task_status.started()
        async with anyio.create_task_group() as tasks:
            while True:
                message = await receive(sock)
                _take(message, handlers, metrics, tasks)


def _take(
    message: pynng.Message,
    handlers: Handlers,
    metrics: Metrics,
    tasks: TaskGroup,
) -> None:
    try:
        frame = decode(message.bytes)
    except FrameError as exc:
        metrics.count(Counter.LINK_REJECTED)
        logger.warning('A frame was rejected.', reason=exc)
        return
    if isinstance(frame, RequestFrame):
        tasks.start_soon(_answer, message.pipe, frame, handlers)


async def _answer(
    pipe: pynng.Pipe, frame: RequestFrame, handlers: Handlers
) -> None:
    body = b''
    refusal: Refusal | None = None
    try:
        if frame.channel is not Channel.HEARTBEAT:
            body = await handlers[frame.channel](frame.body)
    except CallError as exc:
        refusal = exc.refusal
    except Exception as exc:
        logger.failure('A request failed unexpectedly.', exc)
        refusal = CallError(
            ErrorCode.INTERNAL, 'an internal error', Verdict.MAY_HAVE_RUN
        ).refusal
    reply = ReplyFrame(PROTOCOL_VERSION, frame.number, body, refusal)
    try:
        await send(pipe, encode(reply))
    except (SocketClosedError, pynng.NNGException):
        logger.info('A reply found its link closed.')
