"""Opens a tunnel through one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import httpcore

from acaciaramp.endpoints.dialing import NETWORK_ERRORS, StreamWrapper, dial
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.tunnels.messages import (
    TUNNEL_VERSION,
    EndpointUnreachableError,
    TunnelError,
    TunnelOutcome,
    TunnelRequest,
    encode_message,
    read_length,
    read_reply,
)

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.ids import EndpointId


_NO_ANSWER_ERRORS = (TimeoutError, EndpointError, *NETWORK_ERRORS)


class PeerAddress(NamedTuple):
    """Address on which a peer accepts tunnels.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


async def open_tunnel(
    peer: PeerAddress, endpoint: EndpointId, clock: Clock, timeout_ms: int
) -> TunnelStream:
    """Open a tunnel to an endpoint.

    Args:
        peer: The peer that dials the endpoint.
        endpoint: Id of the endpoint.
        clock: Clock for the time limit.
        timeout_ms: Time limit, milliseconds.

    Raises:
        EndpointUnreachableError: The peer could not connect to the endpoint.
        TunnelError: There is no tunnel; no byte reached the endpoint.
    """
    stream: httpcore.AsyncNetworkStream | None = None
    is_open = False
    try:
        with clock.timeout(timeout_ms):
            stream = await dial(*peer, timeout_ms)
            await stream.write(
                encode_message(TunnelRequest(TUNNEL_VERSION, endpoint))
            )
            reply = await read_reply(stream.read)
        is_open = reply.outcome is TunnelOutcome.OPEN
    except _NO_ANSWER_ERRORS as exc:
        raise TunnelError(f'the peer does not answer: {exc!r}') from None
    finally:
        if stream is not None and not is_open:
            await stream.aclose()
    if reply.outcome is TunnelOutcome.UNREACHABLE:
        raise EndpointUnreachableError('the peer cannot connect to it either')
    if not is_open:
        raise TunnelError(f'the peer refuses: {reply.outcome.value}')
    return TunnelStream(stream)


class TunnelStream(StreamWrapper):
    """The bytes of an endpoint's connection, as they come through a tunnel."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Read and write on the connection to the peer, which has opened it."""
        super().__init__(stream)
        self._left_bytes = 0

    # The signatures of ``read`` and ``write`` are those of the base class.
    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Read bytes; none if the endpoint has closed its connection.

        Raises:
            httpcore.ReadError: The tunnel or the endpoint's connection was lost.
        """
        if not self._left_bytes:
            try:
                self._left_bytes = await read_length(
                    lambda size: self._stream.read(size, timeout)
                )
            except TunnelError as exc:
                raise httpcore.ReadError(str(exc)) from None
        if not self._left_bytes:
            return b''
        part = await self._stream.read(
            min(max_bytes, self._left_bytes), timeout
        )
        if not part:
            raise httpcore.ReadError('the tunnel was lost')
        self._left_bytes -= len(part)
        return part
