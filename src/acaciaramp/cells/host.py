"""The cells that one instance hosts, and the bootstrap of its own cell.

The own cell of an instance is the one that is named after it.
"""

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
from acaciaramp.ids import cell_of
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

_BOOTSTRAP_RETRY_MS = 200
_REPLY_TIMEOUT_MS = 1_000
_INCARNATION_BYTES = 8
_TRANSFER_RETRY_MS = 50
_TRANSFER_ATTEMPTS = 20

_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(CellRequest)
_reply_decoder = msgspec.msgpack.Decoder(CellReply)


class CellHost:
    """Hosts an instance's replicas of cells.

    Attributes:
        cells: Hosted cells by name, in the order in which hosting began.
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
            locations: Locations of all instances.
            make_home: Creates the home of a cell's programs.
            data_folder: Folder of the replicas' stores; None stores nothing
                durably.
            timing: Timing of the replicated logs.
            clock: Source of time.
            tasks: Task group that the cells run in.
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
        """Host the instance's own cell and those stored in the data folder.

        Bootstraps the own cell once all other instances have confirmed that
        they have no entries of it. Returns after that, or once the own cell has
        entries here.
        """
        own = self.get_or_create_cell(self._instance)
        for location in self._locations:
            if self._has_folder(location.instance):
                self.get_or_create_cell(location.instance)
        while not own.has_entries:
            if await self._is_cell_unused():
                logger.info(
                    'No instance has entries of the cell; bootstrapping it.',
                    cell=own.name,
                )
                own.bootstrap()
                return
            await self._clock.sleep_ms(_BOOTSTRAP_RETRY_MS)

    def get_or_create_cell(self, name: InstanceId) -> Cell:
        """Return a cell by name; start hosting it if it is not hosted yet."""
        cell = self.cells.get(name)
        if cell is None:
            cell = self._make_cell(name)
            self.cells[name] = cell
            self._tasks.start_soon(cell.run)
        return cell

    async def handle_encoded(self, wire: bytes) -> bytes:
        """Handle an encoded request from another host; return the reply.

        Raises:
            CallError: The request cannot be decoded.
        """
        try:
            req = _request_decoder.decode(wire)
        except msgspec.DecodeError as exc:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'malformed: {exc}'
            ) from None
        return _encode(await self._handle(req))

    def open_member_store(self, name: InstanceId) -> tuple[Member, Store]:
        """Open the store of a log that is not a cell's.

        Args:
            name: Name of the store's folder, as of a cell.

        Returns:
            This instance as a member of the log's group, and the store.
        """
        store, incarnation = self._open_store(name)
        return Member(self._instance, incarnation), store

    def is_session_releasable(self, program: ProgramId) -> bool:
        """Return whether the engine sessions of a program can be released.

        False for programs of cells that are not served here.
        """
        name = cell_of(program)
        cell = None if name is None else self.cells.get(name)
        if cell is None or not cell.is_serving or cell.home is None:
            return False
        return cell.home.is_session_releasable(program)

    async def drain(self, drain_ms: int) -> None:
        """Drain all cells that are led here; see ``Cell.drain``.

        Args:
            drain_ms: How long new steps are still accepted, milliseconds.
        """
        async with anyio.create_task_group() as tasks:
            for cell in self.cells.values():
                tasks.start_soon(cell.drain, drain_ms)

    async def transfer_leadership(self) -> None:
        """Transfer the leadership of all cells to other instances."""
        for cell in self.cells.values():
            for _ in range(_TRANSFER_ATTEMPTS):
                if not cell.replica.can_transfer_leadership:
                    break
                await cell.replica.transfer_leadership()
                await self._clock.sleep_ms(_TRANSFER_RETRY_MS)

    async def _handle(self, req: CellRequest) -> CellReply:
        if isinstance(req.body, StatusRequest):
            hosted = self.cells.get(req.cell)
            return StatusReply(hosted is not None and hosted.has_entries)
        return await self.get_or_create_cell(req.cell).replica.handle(req.body)

    async def _is_cell_unused(self) -> bool:
        """Return whether every other instance confirms it has no entries."""
        replies: list[bool] = []

        async def query(instance: InstanceId) -> None:
            req = CellRequest(self._instance, StatusRequest())
            try:
                reply = await self._exchange(instance, req)
            except PeerError:
                return
            if isinstance(reply, StatusReply):
                replies.append(reply.has_memory)

        async with anyio.create_task_group() as tasks:
            for instance in self._links:
                tasks.start_soon(query, instance)
        return len(replies) == len(self._links) and not any(replies)

    def _make_cell(self, name: InstanceId) -> Cell:
        store, incarnation = self._open_store(name)
        return Cell(
            name=name,
            member=Member(self._instance, incarnation),
            initial_members=Members(()),
            store=store,
            send=functools.partial(self._send, name),
            locations=self._locations,
            make_home=self._make_home,
            clock=self._clock,
            rng=random.Random(),
            timing=self._timing,
        )

    def _open_store(self, name: InstanceId) -> tuple[Store, str]:
        if self._data_folder is None:
            return NullStore(), self._incarnation
        disk = DiskStore(self._cell_folder(name))
        return disk, disk.incarnation

    def _cell_folder(self, name: InstanceId) -> pathlib.Path:
        return pathlib.Path(self._data_folder or '.') / 'cells' / name

    def _has_folder(self, name: InstanceId) -> bool:
        return (
            self._data_folder is not None and self._cell_folder(name).exists()
        )

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
        return await send_request(
            self._links,
            target,
            Channel.CELLS,
            _encode(req),
            _REPLY_TIMEOUT_MS,
            _reply_decoder,
        )
