"""Routes requests to the leader of a program's cell."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

from acaciaramp.cells.placement import placement_order
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import (
    InstanceId,
    ProgramId,
    cell_of,
    make_program_id,
    new_program_id,
)
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.replies import decode_reply
from acaciaramp.programs import api
from acaciaramp.verdicts import Verdict, combine_verdicts

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.cells.host import CellHost
    from acaciaramp.cells.placement import Location
    from acaciaramp.clock import Clock
    from acaciaramp.ids import WorkspaceId
    from acaciaramp.peering.link import Link
    from acaciaramp.programs.home import Home
    from acaciaramp.settings.model import Timeouts

_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(api.Request)
_reply_decoder = msgspec.msgpack.Decoder(api.Reply)
_Reply = TypeVar('_Reply', api.Done, api.View, api.Page)

_RETRY_PERIOD_MS = 100
_RETRIABLE_CODES = frozenset((ErrorCode.NOT_LEADER, ErrorCode.HOME_UNREACHABLE))


class ProgramRouter:
    """Sends requests to the leaders of cells, and caches the known leaders.

    All requests are idempotent, so each may be sent more than once.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        host: CellHost,
        links: Mapping[InstanceId, Link],
        locations: list[Location],
        waits: Timeouts,
        clock: Clock,
    ) -> None:
        """Create the router.

        Args:
            instance: This instance.
            host: The cells hosted here.
            links: Links to the other instances.
            locations: Locations of all instances.
            waits: Timeouts.
            clock: Source of time.
        """
        self._instance = instance
        self._host = host
        self._links = links
        self._waits = waits
        self._clock = clock
        self._preference = {
            item.instance: placement_order(item.instance, locations)
            for item in locations
        }
        self._leaders: dict[InstanceId, InstanceId] = {}

    def new_program_id(self) -> ProgramId:
        """Return the id of a new program, in the own cell if it has a leader."""
        return new_program_id(self._cell_for_new_program())

    def program_id_for_key(self, workspace: WorkspaceId, key: str) -> ProgramId:
        """Return the program id that belongs to an idempotency key.

        The id is a hash of workspace and key. It is the same on all instances,
        so that a resend through another instance finds the existing program.
        """
        digest = hashlib.sha256(f'{workspace}\n{key}'.encode()).hexdigest()
        cell = max(
            self._preference, key=lambda name: _rendezvous_weight(name, digest)
        )
        return make_program_id(cell, digest)

    def child_program_id(self, parent: ProgramId, key: str | None) -> ProgramId:
        """Return the id of a child program, in the cell of its parent.

        Args:
            parent: The parent.
            key: Idempotency key of the request, if any.

        Raises:
            CallError: The parent's id is malformed or has an unknown cell.
        """
        cell = self._cell_of(parent)
        if key is None:
            return new_program_id(cell)
        digest = hashlib.sha256(f'{parent}\n{key}'.encode()).hexdigest()
        return make_program_id(cell, digest)

    async def create(self, req: api.Create) -> api.View:
        """Create a program; a resend returns the existing one."""
        return _check_reply(api.View, await self._request_leader(req))

    async def submit(self, req: api.Submit) -> None:
        """Start a step; a resend joins the existing step."""
        wait_ms = self._waits.previous_step_ms
        _check_reply(api.Done, await self._request_leader(req, wait_ms))

    async def read(self, req: api.Read) -> api.Page:
        """Read the next part of a step's answer."""
        return _check_reply(
            api.Page, await self._request_leader(req, req.wait_ms)
        )

    async def show(self, req: api.Show) -> api.View:
        """Return the state of a program."""
        return _check_reply(api.View, await self._request_leader(req))

    async def end(self, req: api.End) -> None:
        """End a program."""
        _check_reply(api.Done, await self._request_leader(req))

    async def cancel(self, req: api.Cancel) -> None:
        """Cancel a step whose caller has disconnected."""
        _check_reply(api.Done, await self._request_leader(req))

    async def handle_encoded(self, wire: bytes) -> bytes:
        """Handle an encoded request of another instance; return the reply.

        Raises:
            CallError: The request is malformed, another instance leads the
                cell, or the home refused the request.
        """
        try:
            req = _request_decoder.decode(wire)
        except msgspec.DecodeError as exc:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'malformed: {exc}'
            ) from None
        return _encode(
            await self._handle_locally(self._cell_of(req.program), req)
        )

    async def _request_leader(
        self, req: api.Request, extra_ms: int = 0
    ) -> api.Reply:
        """Try one instance after another until the cell's leader replies.

        Args:
            req: The request.
            extra_ms: Longest wait of the leader before it replies, added to the
                timeout of a request to another instance, milliseconds.

        Raises:
            CallError: The leader refused, or none was found in time.
        """
        cell = self._cell_of(req.program)
        deadline_ms = self._clock.now_ms() + self._waits.home_ms
        verdict = Verdict.NOT_RUN
        while self._clock.now_ms() <= deadline_ms:
            for instance in self._instances_to_try(cell):
                try:
                    return await self._request_instance(
                        instance, cell, req, extra_ms
                    )
                except CallError as exc:
                    verdict = combine_verdicts(
                        verdict, self._on_retriable_error(cell, exc)
                    )
            await self._clock.sleep_ms(_RETRY_PERIOD_MS)
        raise _home_unreachable(cell, verdict)

    def _on_retriable_error(
        self, cell: InstanceId, error: CallError
    ) -> Verdict:
        """Update the leader cache after an error; return the verdict.

        Raises:
            CallError: The error is final, so that no other instance is tried.
        """
        if error.refusal.code not in _RETRIABLE_CODES:
            raise error
        self._leaders.pop(cell, None)
        leader = error.refusal.leader
        if leader is not None and leader in self._preference:
            self._leaders[cell] = InstanceId(leader)
        return error.refusal.verdict

    async def _request_instance(
        self,
        instance: InstanceId,
        cell: InstanceId,
        req: api.Request,
        extra_ms: int,
    ) -> api.Reply:
        if instance == self._instance:
            local_reply = await self._handle_locally(cell, req)
            self._leaders[cell] = instance
            return local_reply
        wire = await self._links[instance].request(
            Channel.PROGRAMS, _encode(req), self._waits.peer_ms + extra_ms
        )
        reply = decode_reply(_reply_decoder, wire)
        self._leaders[cell] = instance
        return reply

    async def _handle_locally(
        self, cell: InstanceId, req: api.Request
    ) -> api.Reply:
        hosted = self._host.cells.get(cell)
        if hosted is None:
            raise CallError(
                ErrorCode.NOT_LEADER, f'the cell "{cell}" is not hosted here'
            )
        return await hosted.handle(req, handle_at_home)

    def _instances_to_try(self, cell: InstanceId) -> list[InstanceId]:
        """Return the reachable instances, the last known leader first."""
        leader = self._leaders.get(cell)
        first = [] if leader is None else [leader]
        others = [item for item in self._preference[cell] if item != leader]
        return list(filter(self._is_reachable, [*first, *others]))

    def _is_reachable(self, instance: InstanceId) -> bool:
        if instance == self._instance:
            return True
        return self._links[instance].is_connected

    def _cell_for_new_program(self) -> InstanceId:
        """Return the cell in which this instance creates a program.

        It is the own cell, unless the own cell has no known leader and this
        instance leads another one.
        """
        own = self._instance
        led_here = [
            name for name, cell in self._host.cells.items() if cell.is_serving
        ]
        if own in led_here or own in self._leaders or not led_here:
            return own
        return led_here[0]

    def _cell_of(self, program: ProgramId) -> InstanceId:
        cell = cell_of(program)
        if cell is None or cell not in self._preference:
            raise CallError(
                ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
            )
        return cell


async def handle_at_home(home: Home, req: api.Request) -> api.Reply:
    """Handle a request at the program's home.

    Raises:
        CallError: The home refused the request.
        CommitError: This instance lost the leadership of the cell.
    """
    match req:
        case api.Read():
            return await home.read(req)
        case api.Submit():
            return await home.submit(req)
        case api.Create():
            return await home.create(req)
        case api.Show():
            return await home.show(req)
        case api.End():
            return await home.end(req)
        case api.Cancel():
            return await home.cancel(req)


def _check_reply(kind: type[_Reply], reply: api.Reply) -> _Reply:
    if not isinstance(reply, kind):
        raise CallError(ErrorCode.INTERNAL, 'the reply is of another kind')
    return reply


def _home_unreachable(cell: InstanceId, verdict: Verdict) -> CallError:
    return CallError(
        ErrorCode.HOME_UNREACHABLE,
        f'nobody leads the cell "{cell}" now; ask for the step again',
        verdict,
        retry_after_ms=_RETRY_PERIOD_MS * 10,
    )


def _rendezvous_weight(instance: InstanceId, digest: str) -> bytes:
    """Return the weight of an instance in rendezvous hashing of a digest."""
    return hashlib.sha256(f'{instance}\n{digest}'.encode()).digest()
