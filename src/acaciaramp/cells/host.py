"""All cells that one instance hosts, and its own one's first start."""

from __future__ import annotations

import functools
import pathlib
import random
import secrets
from typing import TYPE_CHECKING

import anyio
import msgspec

from acaciaramp.cells.cell import Cell
from acaciaramp.cells.messages import (
    CellReply,
    CellRequest,
    StatusReply,
    StatusRequest,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import home_of
from acaciaramp.peering.messages import Channel
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.requests import send_request
from acaciaramp.replication.store import NullStore
from acaciaramp.storage.store import DiskStore
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from anyio.abc import TaskGroup

    from acaciaramp.cells.cell import MakeHome
    from acaciaramp.cells.placement import Location
    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId, ProgramId
    from acaciaramp.peering.link import Link
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.store import Store
    from acaciaramp.replication.timing import Timing

logger = get_logger('cells')

_FORM_PERIOD_MS = 200
_ANSWER_MS = 1_000
_INCARNATION_BYTES = 8
_HANDOVER_PERIOD_MS = 50
_HANDOVER_TRIES = 20

_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(CellRequest)
_reply_decoder = msgspec.msgpack.Decoder(CellReply)


class CellHost:
    """The cells of one instance.

    Attributes:
        cells: Cells by name, as they came to be hosted here.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        links: Mapping[InstanceId, Link],
        locations: list[Location],
        make_home: MakeHome,
        data_folder: str | None,
        timing: Timing,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        """Create the host without cells.

        Args:
            instance: This instance.
            links: Links to the other instances.
            locations: Every instance.
            make_home: Makes the home of a cell's programs.
            data_folder: Where replicas are kept; None keeps them in memory.
            timing: Times of the replicated logs.
            clock: Source of time.
            tasks: Where the cells run.
        """
        self.cells: dict[InstanceId, Cell] = {}
        self._instance = instance
        self._links = links
        self._locations = locations
        self._make_home = make_home
        self._data_folder = data_folder
        self._timing = timing
        self._clock = clock
        self._tasks = tasks
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)

    async def run(self) -> None:
        """Host the instance's own cell, and those kept in the data folder."""
        own = self.cell(self._instance)
        for location in self._locations:
            if self._has_folder(location.instance):
                self.cell(location.instance)
        while not own.has_memory:
            if await self._is_cell_new():
                logger.info('The cell is formed.', cell=own.name)
                own.form()
                return
            await self._clock.sleep_ms(_FORM_PERIOD_MS)

    def cell(self, name: InstanceId) -> Cell:
        """Return the cell of a name; host it if it is not hosted yet."""
        found = self.cells.get(name)
        if found is None:
            found = self._make_cell(name)
            self.cells[name] = found
            self._tasks.start_soon(found.run)
        return found

    async def handle_encoded(self, wire: bytes) -> bytes:
        """Answer an encoded request of another host.

        Raises:
            CallError: The request is malformed.
        """
        try:
            req = _request_decoder.decode(wire)
        except msgspec.DecodeError as exc:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'malformed: {exc}'
            ) from None
        return _encode(await self._answer(req))

    def open_member_store(self, name: InstanceId) -> tuple[Member, Store]:
        """Return the replica and the store of a log that is kept here."""
        store, incarnation = self._store(name)
        return Member(self._instance, incarnation), store

    def is_session_releasable(self, program: ProgramId) -> bool:
        """Return whether a program of a cell that is served here is over."""
        name = home_of(program)
        cell = None if name is None else self.cells.get(name)
        if cell is None or not cell.is_serving or cell.home is None:
            return False
        return cell.home.is_gone(program)

    async def drain(self, drain_ms: int) -> None:
        """Wait until no step is under way in any cell that is led here."""
        async with anyio.create_task_group() as tasks:
            for cell in self.cells.values():
                tasks.start_soon(cell.drain, drain_ms)

    async def transfer_leadership(self) -> None:
        """Give the leadership of every cell to another instance."""
        for cell in self.cells.values():
            for _ in range(_HANDOVER_TRIES):
                if not cell.replica.can_transfer_leadership:
                    break
                await cell.replica.transfer_leadership()
                await self._clock.sleep_ms(_HANDOVER_PERIOD_MS)

    async def _answer(self, req: CellRequest) -> CellReply:
        if isinstance(req.body, StatusRequest):
            hosted = self.cells.get(req.cell)
            return StatusReply(hosted is not None and hosted.has_memory)
        return await self.cell(req.cell).replica.handle(req.body)

    async def _is_cell_new(self) -> bool:
        """Return whether every instance says that it knows no such cell."""
        answers: list[bool] = []

        async def ask(instance: InstanceId) -> None:
            req = CellRequest(self._instance, StatusRequest())
            try:
                reply = await self._exchange(instance, req)
            except PeerError:
                return
            if isinstance(reply, StatusReply):
                answers.append(reply.has_memory)

        async with anyio.create_task_group() as tasks:
            for instance in self._links:
                tasks.start_soon(ask, instance)
        return len(answers) == len(self._links) and not any(answers)

    def _make_cell(self, name: InstanceId) -> Cell:
        store, incarnation = self._store(name)
        return Cell(
            name=name,
            me=Member(self._instance, incarnation),
            first=Members(()),
            store=store,
            send=functools.partial(self._send, name),
            locations=self._locations,
            make_home=self._make_home,
            clock=self._clock,
            rng=random.Random(),
            timing=self._timing,
        )

    def _store(self, name: InstanceId) -> tuple[Store, str]:
        if self._data_folder is None:
            return NullStore(), self._incarnation
        disk = DiskStore(self._folder(name))
        return disk, disk.incarnation

    def _folder(self, name: InstanceId) -> pathlib.Path:
        return pathlib.Path(self._data_folder or '.') / 'cells' / name

    def _has_folder(self, name: InstanceId) -> bool:
        return self._data_folder is not None and self._folder(name).exists()

    async def _send(
        self, cell: InstanceId, target: InstanceId, body: msgs.Request
    ) -> msgs.Reply:
        reply = await self._exchange(target, CellRequest(cell, body))
        if isinstance(reply, StatusReply):
            raise PeerError(f'{target} gave a reply of another kind')
        return reply

    async def _exchange(
        self, target: InstanceId, req: CellRequest
    ) -> CellReply:
        wire = await send_request(
            self._links, target, Channel.CELLS, _encode(req), _ANSWER_MS
        )
        return _reply_decoder.decode(wire)
