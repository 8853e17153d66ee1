"""Serves the tunnels of peers that cannot reach the endpoints themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from acaciaramp.endpoints.dialing import (
    NETWORK_ERRORS,
    SOCKET_OPTIONS,
    dial,
)
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.framing import CONNECTION_ERRORS
from acaciaramp.tunnels.messages import (
    TunnelError,
    TunnelOutcome,
    TunnelReply,
    encode_message,
    pack,
    read_request,
)
from acaciaramp.util.gate import ConnectionGate
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    import httpcore
    from anyio.abc import SocketStream

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import EndpointId
    from acaciaramp.metrics.client import Metrics

    FindEndpoint = Callable[[EndpointId], Endpoint | None]

logger = get_logger('tunnels')

# The peer gives up a little later, so that it gets the reason.
DIAL_TIMEOUT_MS = 400
_REQUEST_TIMEOUT_MS = 1_000
_MAX_TUNNELS = 256
# Peers beyond the tunnels are told that there are too many.
_MAX_CONNECTIONS = 320
_READ_BYTES = 65_536
_STREAM_ERRORS = (*NETWORK_ERRORS, *CONNECTION_ERRORS)
_TUNNEL_ERRORS = (TunnelError, *CONNECTION_ERRORS)


class TunnelServer:
    """Dials endpoints for peers and passes the bytes on.

    Only listed endpoints are dialled. If this instance cannot reach the
    endpoints either, peers are refused at once.

    Attributes:
        open_tunnels: Number of connections of peers.
        is_stopping: Whether new tunnels are refused, as the process stops.
    """

    def __init__(
        self,
        find_endpoint: FindEndpoint,
        is_lost: Callable[[], bool],
        on_unreachable: Callable[[EndpointId], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the server.

        Args:
            find_endpoint: Returns the listed endpoint with an id, if any.
            is_lost: Returns whether this instance cannot reach endpoints.
            on_unreachable: Called with an endpoint that could not be dialled.
            clock: Clock for timeouts.
            metrics: Counts tunnels by outcome.
        """
        self._find_endpoint = find_endpoint
        self._is_lost = is_lost
        self._on_unreachable = on_unreachable
        self._clock = clock
        self._metrics = metrics
        self.open_tunnels = 0
        self.is_stopping = False

    async def serve(self, host: str, port: int) -> None:
        """Accept tunnels on a port until cancelled.

        If the port cannot be bound, this instance serves no tunnels.
        """
        try:
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=port
            )
        except OSError as exc:
            logger.warning(
                'Could not bind the tunnel port; running without serving tunnels.',
                port=port,
                reason=exc,
            )
            return
        async with listener:
            gate = ConnectionGate('tunnels', _MAX_CONNECTIONS)
            await listener.serve(gate.guard(self.serve_connection))

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve the connection of a peer until either side closes it."""
        self.open_tunnels += 1
        try:
            async with stream:
                await self._serve_tunnel(stream)
        except _TUNNEL_ERRORS as exc:
            logger.info('A tunnel of a peer was broken off.', reason=repr(exc))
        except Exception as exc:
            # A defect; the other tunnels go on.
            logger.error_from('A tunnel of a peer failed; closing it.', exc)
        finally:
            self.open_tunnels -= 1

    async def _serve_tunnel(self, stream: SocketStream) -> None:
        raw = stream.extra(SocketAttribute.raw_socket)  # noqa: S610
        for option in SOCKET_OPTIONS:
            raw.setsockopt(*option)
        with self._clock.timeout(_REQUEST_TIMEOUT_MS):
            req = await read_request(stream.receive)
        upstream: httpcore.AsyncNetworkStream | None = None
        outcome = self._refusal(req.endpoint)
        if outcome is TunnelOutcome.OPEN:
            upstream = await self._dial(req.endpoint)
            if upstream is None:
                outcome = TunnelOutcome.UNREACHABLE
        self._metrics.count(Counter.TUNNEL_REQUESTED, outcome)
        logger.info(
            'A peer asked for a tunnel to an endpoint.',
            endpoint=req.endpoint,
            outcome=outcome.value,
            open_tunnels=self.open_tunnels,
        )
        try:
            await stream.send(encode_message(TunnelReply(outcome)))
            if upstream is not None:
                await _splice(stream, upstream)
        finally:
            if upstream is not None:
                with anyio.CancelScope(shield=True):
                    await upstream.aclose()

    def _refusal(self, endpoint: EndpointId) -> TunnelOutcome:
        """Return why no tunnel may be opened, ``OPEN`` if one may."""
        if self._find_endpoint(endpoint) is None:
            return TunnelOutcome.UNLISTED
        if self._is_lost():
            return TunnelOutcome.LOST
        if self.is_stopping or self.open_tunnels > _MAX_TUNNELS:
            return TunnelOutcome.BUSY
        return TunnelOutcome.OPEN

    async def _dial(
        self, endpoint_id: EndpointId
    ) -> httpcore.AsyncNetworkStream | None:
        endpoint = self._find_endpoint(endpoint_id)
        if endpoint is None:
            return None
        try:
            return await dial(endpoint.host, endpoint.port, DIAL_TIMEOUT_MS)
        except EndpointError:
            self._on_unreachable(endpoint_id)
            return None


async def _splice(
    stream: SocketStream, upstream: httpcore.AsyncNetworkStream
) -> None:
    """Pass bytes on in both directions until one side ends."""
    async with anyio.create_task_group() as tasks:

        async def pass_up() -> None:
            try:
                while True:
                    await upstream.write(await stream.receive(_READ_BYTES))
            except _STREAM_ERRORS:
                tasks.cancel_scope.cancel()

        async def pass_down() -> None:
            try:
                part = b'-'
                while part:
                    part = await upstream.read(_READ_BYTES)
                    await stream.send(pack(part))
            except _STREAM_ERRORS:
                logger.info('The connection of a tunnel was lost.')
            tasks.cancel_scope.cancel()

        tasks.start_soon(pass_up)
        tasks.start_soon(pass_down)
