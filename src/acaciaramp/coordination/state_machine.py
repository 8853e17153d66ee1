"""Replicated state of the control group and the commands that change it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.homes import HomeSeed
from acaciaramp.coordination.messages import (
    Command,
    Evacuate,
    Node,
    RateCheckpoint,
    ReadState,
    Retire,
    SeedHomeLedger,
    SeedLedger,
    StateReply,
    StoreRates,
    StoreTable,
)
from acaciaramp.replication.members import Member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_command_decoder = msgspec.msgpack.Decoder(Command)
_encode = msgspec.msgpack.Encoder().encode


class ControlState(msgspec.Struct, kw_only=True):
    """Replicated state of the control group.

    Attributes:
        version: Version of the newest routing table; 0 if there is none.
        body: That table, compressed.
        ledger_seed: The replica that bootstraps the ledger.
        retiring: Storage instances to retire, by name.
        rates: Newest checkpoints of the shared rates, by workspace.
        home_seeds: How the ledgers of single regions were bootstrapped.
        evacuated: Availability zones that are evacuated.
    """

    version: int = 0
    body: bytes = b''
    ledger_seed: Member | None = None
    retiring: dict[str, Node] = msgspec.field(default_factory=dict)
    rates: dict[str, RateCheckpoint] = msgspec.field(default_factory=dict)
    home_seeds: dict[str, HomeSeed] = msgspec.field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()


_state_decoder = msgspec.msgpack.Decoder(ControlState)


class ControlStateMachine:
    """Applies committed commands to the state, in the order of the log.

    Attributes:
        state: The current state.
    """

    def __init__(self) -> None:
        """Create the state machine with an empty state."""
        self.state = ControlState()
        self._on_change: Callable[[], None] = _ignore
        self._on_rates: Callable[[Iterable[str]], None] = _ignore

    def subscribe(
        self,
        on_change: Callable[[], None],
        on_rates: Callable[[Iterable[str]], None],
    ) -> None:
        """Set the functions that are called after changes of the state.

        Args:
            on_change: Called after a command that may change anything but the
                rates, and after ``restore``.
            on_rates: Called with the workspaces whose checkpoints were
                stored, or restored.
        """
        self._on_change = on_change
        self._on_rates = on_rates

    def apply(self, payload: bytes) -> StateReply:
        """Apply an encoded command.

        Returns:
            The version of the newest routing table, and for ``ReadState`` the
            table itself.
        """
        command = _command_decoder.decode(payload)
        state = self.state
        match command:
            case StoreTable(version=version, body=body):
                if version > state.version:
                    state.version = version
                    state.body = body
            case SeedLedger(member=member):
                state.ledger_seed = state.ledger_seed or member
            case SeedHomeLedger(region=region, seed=seed):
                state.home_seeds.setdefault(region, seed)
            case Evacuate(zone=zone, has_begun=has_begun):
                others = state.evacuated - {zone}
                state.evacuated = others | {zone} if has_begun else others
            case Retire(node=node):
                state.retiring[node.name] = node
            case StoreRates(levels=checkpoints):
                state.rates.update(checkpoints)
                self._on_rates(checkpoints)
                return StateReply(state.version, b'')
            case ReadState(known=known):
                body = b'' if known == state.version else state.body
                return StateReply(state.version, body)
        self._on_change()
        return StateReply(state.version, b'')

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return _encode(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the state by an encoded one; empty bytes reset it."""
        self.state = _state_decoder.decode(state) if state else ControlState()
        self._on_rates(self.state.rates)
        self._on_change()


def _ignore(*_: object) -> None:
    """Do nothing, as nobody has subscribed yet."""
