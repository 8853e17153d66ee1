"""Carries requests to the home of a program, here or on another instance."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

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

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.ids import WorkspaceId
    from acaciaramp.peering.link import Link
    from acaciaramp.programs.home import Home

_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(api.Request)
_reply_decoder = msgspec.msgpack.Decoder(api.Reply)
_Reply = TypeVar('_Reply', api.Done, api.View, api.Page)


class Router:
    """Knows every instance's home and carries requests there."""

    def __init__(
        self,
        instance: InstanceId,
        home: Home,
        links: Mapping[InstanceId, Link],
        peer_ms: int,
    ) -> None:
        """Create the router.

        Args:
            instance: This instance.
            home: This instance's home.
            links: Links to the other instances.
            peer_ms: Longest wait for another instance, milliseconds.
        """
        self._instance = instance
        self._home = home
        self._links = links
        self._peer_ms = peer_ms
        self._all = sorted({instance, *links})

    def new_program(self) -> ProgramId:
        """Return the id of a new program whose home is here."""
        return new_program_id(self._instance)

    def program_of_key(self, workspace: WorkspaceId, key: str) -> ProgramId:
        """Return the program that an idempotency key names.

        Every instance gives the same answer, so that a resend through another
        instance meets the same record.
        """
        digest = hashlib.sha256(f'{workspace}\n{key}'.encode()).hexdigest()
        home = max(self._all, key=lambda name: _weight(name, digest))
        return program_id(home, digest)

    def child_of(self, parent: ProgramId, key: str | None) -> ProgramId:
        """Return the id of a child program, which has its parent's home.

        Args:
            parent: The parent.
            key: Idempotency key of the request, if it has one.

        Raises:
            CallError: The parent's id is malformed.
        """
        home = self._home_of(parent)
        if key is None:
            return new_program_id(home)
        digest = hashlib.sha256(f'{parent}\n{key}'.encode()).hexdigest()
        return program_id(home, digest)

    async def create(self, req: api.Create) -> api.View:
        """Create a program at its home."""
        return _expect(api.View, await self._call(req))

    async def submit(self, req: api.Submit) -> None:
        """Begin a step, or join it."""
        wait_ms = self._peer_ms
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

    async def _call(self, req: api.Request, extra_ms: int = 0) -> api.Reply:
        home = self._home_of(req.program)
        if home == self._instance:
            return await answer(self._home, req)
        link = self._links.get(home)
        if link is None:
            raise _unknown(req.program)
        wire = await link.request(
            Channel.PROGRAMS, _encode(req), self._peer_ms + extra_ms
        )
        return _reply_decoder.decode(wire)

    def _home_of(self, program: ProgramId) -> InstanceId:
        home = home_of(program)
        if home is None or home not in self._all:
            raise _unknown(program)
        return home


async def answer_wire(home: Home, wire: bytes) -> bytes:
    """Carry out a request of another instance, both in the inner encoding.

    Raises:
        CallError: The home refused the request, or it is malformed.
    """
    try:
        req = _request_decoder.decode(wire)
    except msgspec.DecodeError as exc:
        raise CallError(ErrorCode.BAD_REQUEST, f'malformed: {exc}') from None
    return _encode(await answer(home, req))


async def answer(home: Home, req: api.Request) -> api.Reply:
    """Carry out a request at its home.

    Raises:
        CallError: The home refused the request.
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


def _unknown(program: ProgramId) -> CallError:
    return CallError(
        ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
    )


def _weight(instance: InstanceId, digest: str) -> bytes:
    return hashlib.sha256(f'{instance}\n{digest}'.encode()).digest()
