"""Command logs, which make commands durable before applying them."""

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
    """This instance lost its leadership before it saw a command committed.

    Another instance may lead, and may still commit the command.
    """


class CommandLog(Protocol):
    """Orders commands, makes them durable and applies them to the state."""

    async def commit(self, command: Command) -> None:
        """Commit a command; return once it is durable and applied.

        Raises:
            CallError: The state machine refused the command.
            CommitError: This instance does not lead, or lost its leadership.
        """
        ...


class MemoryLog:
    """A log without replication or storage, for tests."""

    def __init__(self, state: Programs) -> None:
        """Create a log that applies commands to ``state``."""
        self._state = state

    async def commit(self, command: Command) -> None:
        """Apply the command immediately."""
        apply(self._state, command)


class ProgramStateMachine:
    """The replicated state machine of a cell's programs.

    Attributes:
        state: The programs.
    """

    def __init__(self) -> None:
        """Create the state machine without programs."""
        self.state = Programs()

    def apply(self, payload: bytes) -> Refusal | None:
        """Apply an encoded command; return the refusal if it is refused."""
        try:
            apply(self.state, _command_decoder.decode(payload))
        except CallError as exc:
            return exc.refusal
        return None

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of all programs."""
        return _encode(list(self.state.by_id.values()))

    def restore(self, state: bytes) -> None:
        """Replace all programs by those of a snapshot.

        Args:
            state: The encoded snapshot; empty for one without programs.
        """
        records = _state_decoder.decode(state) if state else []
        self.state.by_id.clear()
        self.state.by_id.update((item.program, item) for item in records)


class ReplicatedLog:
    """A log that commits commands through a replica of the cell's group."""

    def __init__(self, replica: Replica) -> None:
        """Create the log on a replica, which has to be the leader to commit."""
        self._replica = replica

    async def commit(self, command: Command) -> None:
        """Return once a majority has stored the command and it is applied.

        Raises:
            CallError: The state machine refused the command.
            CommitError: This instance does not lead, or lost its leadership
                before the command was known to be committed.
        """
        try:
            refusal = await self._replica.propose(_encode(command))
        except (NotLeaderError, LeadershipLostError) as exc:
            raise CommitError(str(exc)) from None
        if isinstance(refusal, Refusal):
            raise CallError.from_refusal(refusal)
