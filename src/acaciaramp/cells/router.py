"""Carries requests to the leader of a program's cell, wherever it is."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

from acaciaramp.cells.placement import preferred
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import (
    InstanceId,
    ProgramId,
    home_of,
    new_program_id,
    program_id,
)
from acaciaramp.peering.messages import Channel
from acaciaramp.programs import api
from acaciaramp.verdicts import Verdict, combine

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
_ELSEWHERE = frozenset((ErrorCode.NOT_LEADER, ErrorCode.HOME_UNREACHABLE))


class ProgramRouter:
    """Knows who leads which cell and carries requests there.

    Every request may be sent more than once: a home answers the same one in
    the same way.
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
            locations: Every instance.
            waits: Longest waits.
            clock: Source of time.
        """
        self._instance = instance
        self._host = host
        self._links = links
        self._waits = waits
        self._clock = clock
        self._order = {
            item.instance: preferred(item.instance, locations)
            for item in locations
        }
        self._leaders: dict[InstanceId, InstanceId] = {}

    def new_program_id(self) -> ProgramId:
        """Return the id of a new program, in a cell that is led near by."""
        return new_program_id(self._nearest_cell())

    def program_id_for_key(self, workspace: WorkspaceId, key: str) -> ProgramId:
        """Return the program that an idempotency key names.

        Every instance gives the same answer, so that a resend through another
        instance meets the same record.
        """
        digest = hashlib.sha256(f'{workspace}\n{key}'.encode()).hexdigest()
        cell = max(self._order, key=lambda name: _weight(name, digest))
        return program_id(cell, digest)

    def child_program_id(self, parent: ProgramId, key: str | None) -> ProgramId:
        """Return the id of a child program, which has its parent's cell.

        Args:
            parent: The parent.
            key: Idempotency key of the request, if it has one.

        Raises:
            CallError: The parent's id is malformed.
        """
        cell = self._cell_of(parent)
        if key is None:
            return new_program_id(cell)
        digest = hashlib.sha256(f'{parent}\n{key}'.encode()).hexdigest()
        return program_id(cell, digest)

    async def create(self, req: api.Create) -> api.View:
        """Create a program at its home."""
        return _expect(api.View, await self._call(req))

    async def submit(self, req: api.Submit) -> None:
        """Begin a step, or join it."""
        wait_ms = self._waits.previous_step_ms
        _expect(api.Done, await self._call(req, wait_ms))

    async def read(self, req: api.Read) -> api.Page:
        """Read on in the answer of a step."""
        return _expect(api.Page, await self._call(req, req.wait_ms))

    async def show(self, req: api.Show) -> api.View:
        """Return the state of a program."""
        return _expect(api.View, await self._call(req))

    async def end(self, req: api.End) -> None:
        """End a program."""
        _expect(api.Done, await self._call(req))

    async def cancel(self, req: api.Cancel) -> None:
        """Cancel a step whose caller has gone."""
        _expect(api.Done, await self._call(req))

    async def handle_encoded(self, wire: bytes) -> bytes:
        """Carry out a request of another instance, in the inner encoding.

        Raises:
            CallError: Another instance leads, or the home refused.
        """
        try:
            req = _request_decoder.decode(wire)
        except msgspec.DecodeError as exc:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'malformed: {exc}'
            ) from None
        return _encode(await self._answer_here(self._cell_of(req.program), req))

    async def _call(self, req: api.Request, extra_ms: int = 0) -> api.Reply:
        """Ask one instance after the other until the cell's leader answers."""
        cell = self._cell_of(req.program)
        give_up_ms = self._clock.now_ms() + self._waits.home_ms
        verdict = Verdict.NOT_RUN
        while self._clock.now_ms() <= give_up_ms:
            for instance in self._candidates(cell):
                try:
                    return await self._ask(instance, cell, req, extra_ms)
                except CallError as exc:
                    verdict = combine(verdict, self._elsewhere(cell, exc))
            await self._clock.sleep_ms(_RETRY_PERIOD_MS)
        raise _unreachable(cell, verdict)

    def _elsewhere(self, cell: InstanceId, error: CallError) -> Verdict:
        """Take note that another instance has to be asked.

        Raises:
            CallError: The answer was final.
        """
        if error.refusal.code not in _ELSEWHERE:
            raise error
        self._leaders.pop(cell, None)
        leader = error.refusal.leader
        if leader is not None and leader in self._order:
            self._leaders[cell] = InstanceId(leader)
        return error.refusal.verdict

    async def _ask(
        self,
        instance: InstanceId,
        cell: InstanceId,
        req: api.Request,
        extra_ms: int,
    ) -> api.Reply:
        if instance == self._instance:
            reply = await self._answer_here(cell, req)
            self._leaders[cell] = instance
            return reply
        wire = await self._links[instance].request(
            Channel.PROGRAMS, _encode(req), self._waits.peer_ms + extra_ms
        )
        self._leaders[cell] = instance
        return _reply_decoder.decode(wire)

    async def _answer_here(
        self, cell: InstanceId, req: api.Request
    ) -> api.Reply:
        hosted = self._host.cells.get(cell)
        if hosted is None:
            raise CallError(
                ErrorCode.NOT_LEADER, f'the cell "{cell}" is not hosted here'
            )
        return await hosted.handle(req, answer)

    def _candidates(self, cell: InstanceId) -> list[InstanceId]:
        """Return the instances to ask, the likeliest leader first."""
        known = self._leaders.get(cell)
        first = [] if known is None else [known]
        rest = [item for item in self._order[cell] if item != known]
        return list(filter(self._is_reachable, [*first, *rest]))

    def _is_reachable(self, instance: InstanceId) -> bool:
        if instance == self._instance:
            return True
        return self._links[instance].is_connected

    def _nearest_cell(self) -> InstanceId:
        """Return the own cell if it is led, else one that is."""
        own = self._instance
        led_here = [
            name for name, cell in self._host.cells.items() if cell.is_serving
        ]
        if own in led_here or own in self._leaders or not led_here:
            return own
        return led_here[0]

    def _cell_of(self, program: ProgramId) -> InstanceId:
        cell = home_of(program)
        if cell is None or cell not in self._order:
            raise CallError(
                ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
            )
        return cell


async def answer(home: Home, req: api.Request) -> api.Reply:
    """Carry out a request at its home.

    Raises:
        CallError: The home refused the request.
        CommitError: The home has lost its cell.
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


def _expect(kind: type[_Reply], reply: api.Reply) -> _Reply:
    if not isinstance(reply, kind):
        raise CallError(ErrorCode.INTERNAL, 'the reply is of another kind')
    return reply


def _unreachable(cell: InstanceId, verdict: Verdict) -> CallError:
    return CallError(
        ErrorCode.HOME_UNREACHABLE,
        f'nobody leads the cell "{cell}" now; ask for the step again',
        verdict,
        retry_after_ms=_RETRY_PERIOD_MS * 10,
    )


def _weight(instance: InstanceId, digest: str) -> bytes:
    return hashlib.sha256(f'{instance}\n{digest}'.encode()).digest()
