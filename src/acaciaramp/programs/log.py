"""The log that makes commands durable before they are applied."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from acaciaramp.errors import AcaciarampError, CallError, Refusal
from acaciaramp.programs.commands import Command
from acaciaramp.programs.state_machine import Programs, apply
from acaciaramp.records import Program
from acaciaramp.replication.errors import LeadershipLostError, NotLeaderError

if TYPE_CHECKING:
    from acaciaramp.replication.replica import Replica

_encode = msgspec.msgpack.Encoder().encode
_command_decoder = msgspec.msgpack.Decoder(Command)
_state_decoder = msgspec.msgpack.Decoder(list[Program])


class CommitError(AcaciarampError):
    """A command was not committed here; another instance may go on."""


class CommandLog(Protocol):
    """Orders commands, makes them durable and applies them."""

    async def commit(self, command: Command) -> None:
        """Return once the command is durable and applied.

        Raises:
            CallError: The state did not allow the command.
            CommitError: This instance no longer owns the state.
        """
        ...


class MemoryLog:
    """A log that lasts as long as its process."""

    def __init__(self, state: Programs) -> None:
        """Create the log of ``state``."""
        self._state = state

    async def commit(self, command: Command) -> None:
        """Apply the command at once."""
        apply(self._state, command)


class ProgramStateMachine:
    """The state of programs as a replicated log sees it.

    Attributes:
        state: The programs.
    """

    def __init__(self) -> None:
        """Create the machine without programs."""
        self.state = Programs()

    def apply(self, payload: bytes) -> Refusal | None:
        """Apply an encoded command; return why it was refused, if it was."""
        try:
            apply(self.state, _command_decoder.decode(payload))
        except CallError as exc:
            return exc.refusal
        return None

    def snapshot(self) -> bytes:
        """Return all programs, encoded."""
        return _encode(list(self.state.by_id.values()))

    def restore(self, state: bytes) -> None:
        """Replace all programs by encoded ones."""
        records = _state_decoder.decode(state) if state else []
        self.state.by_id.clear()
        self.state.by_id.update((item.program, item) for item in records)


class ReplicatedLog:
    """A log whose commands are committed by a majority."""

    def __init__(self, replica: Replica) -> None:
        """Create the log on top of a replica."""
        self._replica = replica

    async def commit(self, command: Command) -> None:
        """Return once a majority has the command and it is applied.

        Raises:
            CallError: The state did not allow the command.
            CommitError: This instance no longer leads.
        """
        try:
            refusal = await self._replica.propose(_encode(command))
        except (NotLeaderError, LeadershipLostError) as exc:
            raise CommitError(str(exc)) from None
        if isinstance(refusal, Refusal):
            raise CallError.from_refusal(refusal)
