"""The log that makes commands durable before they are applied."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from acaciaramp.programs.machine import Programs, apply

if TYPE_CHECKING:
    from acaciaramp.programs.commands import Command


class CommandLog(Protocol):
    """Orders commands, makes them durable and applies them."""

    async def commit(self, command: Command) -> None:
        """Return once the command is durable and applied.

        Raises:
            CallError: The state did not allow the command.
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
