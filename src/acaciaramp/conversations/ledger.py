"""The ledger as a deterministic state machine: budgets and kept turns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    KeptTurn,
    LedgerCommand,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    TurnKey,
)
from acaciaramp.ids import ProgramId, WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Iterator

# Callers may come back to a stopped program for as long as turns are kept.
ACCOUNT_KEPT_MS = 180_000
# Longer than an entry goes on asking; a turn that ended must not be reserved
# by a copy of its beginning that was held up on its way.
ENDED_KEPT_MS = 60_000
_SWEEP_COMMANDS = 256
_command_decoder = msgspec.msgpack.Decoder(LedgerCommand)
_encode = msgspec.msgpack.Encoder().encode


class Account(msgspec.Struct):
    """The budget of one program.

    Attributes:
        settled: Tokens that ended turns generated.
        reserved: The most tokens of each turn under way, by request id.
        touched_ms: Wall time of the last change.
    """

    settled: int = 0
    reserved: dict[str, int] = msgspec.field(default_factory=dict)
    touched_ms: int = 0

    @property
    def spent(self) -> int:
        """Tokens that are used, counting turns under way at their most."""
        return self.settled + sum(self.reserved.values())


class _State(msgspec.Struct):
    """All that a snapshot holds; keys are written out as lists."""

    now_ms: int
    turns: list[tuple[WorkspaceId, str, KeptTurn]]
    accounts: list[tuple[WorkspaceId, ProgramId, Account]]
    ended: list[tuple[TurnKey, int]] = []


_state_decoder = msgspec.msgpack.Decoder(_State)


class Ledger:
    """Budgets by program and kept turns by request id."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self._turns: dict[TurnKey, KeptTurn] = {}
        self._accounts: dict[tuple[WorkspaceId, ProgramId], Account] = {}
        self._ended: dict[TurnKey, int] = {}
        self._now_ms = 0
        self._commands = 0

    def apply(self, payload: bytes) -> OpenReply | CloseReply:
        """Carry out an encoded command."""
        command = _command_decoder.decode(payload)
        # Wall clocks of callers differ; the ledger's time never goes back.
        self._now_ms = max(self._now_ms, command.at_ms)
        self._commands += 1
        if self._commands % _SWEEP_COMMANDS == 0:
            self._sweep()
        if isinstance(command, OpenTurn):
            return self._open(command)
        return self._close(command)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        turns = [
            (key.workspace, key.attempt, turn)
            for key, turn in self._turns.items()
        ]
        accounts = [(*key, account) for key, account in self._accounts.items()]
        ended = list(self._ended.items())
        return _encode(_State(self._now_ms, turns, accounts, ended))

    def restore(self, state: bytes) -> None:
        """Replace the state by an encoded one; empty bytes empty it."""
        self._turns = {}
        self._accounts = {}
        self._ended = {}
        self._now_ms = 0
        if not state:
            return
        stored = _state_decoder.decode(state)
        self._now_ms = stored.now_ms
        for workspace, attempt, turn in stored.turns:
            self._turns[TurnKey(workspace, attempt)] = turn
        for owner, program, account in stored.accounts:
            self._accounts[owner, program] = account
        self._ended = dict(stored.ended)

    def chain_of(self, key: TurnKey) -> bytes | None:
        """Return the contents of a turn and all before it, oldest first.

        None if the turn is not known.
        """
        if key not in self._turns:
            return None
        return b''.join(reversed(list(self._contents(key))))

    def account(self, key: TurnKey, program: ProgramId) -> Account:
        """Return the account of a program; a new one starts empty."""
        return self._accounts.setdefault((key.workspace, program), Account())

    def _open(self, command: OpenTurn) -> OpenReply:
        key = command.turn
        chain = b''
        if command.previous is not None:
            previous = TurnKey(key.workspace, command.previous)
            known = self.chain_of(previous)
            if known is None:
                return OpenReply(OpenOutcome.UNKNOWN_TURN)
            chain = b'' if command.has_chain else known
        if command.reservation is None:
            return OpenReply(OpenOutcome.OPENED, chain)
        return self._reserve(key, command.reservation, chain)

    def _reserve(
        self, key: TurnKey, wanted: Reservation, chain: bytes
    ) -> OpenReply:
        if key in self._ended:
            return OpenReply(OpenOutcome.ENDED)
        is_new = (key.workspace, wanted.program) not in self._accounts
        account = self.account(key, wanted.program)
        account.touched_ms = self._now_ms
        # A command that was proposed twice reserves once.
        if key.attempt in account.reserved:
            return OpenReply(OpenOutcome.OPENED, chain, account.spent)
        if account.spent + wanted.most_tokens > wanted.budget:
            return OpenReply(
                OpenOutcome.EXHAUSTED,
                spent=account.spent,
                under_way=len(account.reserved),
            )
        account.reserved[key.attempt] = wanted.most_tokens
        return OpenReply(OpenOutcome.OPENED, chain, account.spent, is_new)

    def _close(self, command: CloseTurn) -> CloseReply:
        key = command.turn
        if command.program is not None:
            account = self.account(key, command.program)
            account.touched_ms = self._now_ms
            self._ended[key] = self._now_ms
            if account.reserved.pop(key.attempt, None) is not None:
                account.settled += command.tokens
        if command.kept is not None:
            self._turns.setdefault(key, command.kept)
        return CloseReply()

    def _contents(self, key: TurnKey) -> Iterator[bytes]:
        """Yield the contents of a turn and those before it, newest first."""
        turn = self._turns.get(key)
        while turn is not None:
            yield turn.content
            if turn.previous is None:
                return
            turn = self._turns.get(TurnKey(key.workspace, turn.previous))

    def _sweep(self) -> None:
        """Forget turns whose time is over and programs long untouched.

        A turn stays for as long as a kept one continues it.
        """
        continued = {
            TurnKey(key.workspace, turn.previous)
            for key, turn in self._turns.items()
            if turn.previous is not None
        }
        self._turns = {
            key: turn
            for key, turn in self._turns.items()
            if turn.until_ms >= self._now_ms or key in continued
        }
        last_ms = self._now_ms - ENDED_KEPT_MS
        self._ended = {
            key: at_ms for key, at_ms in self._ended.items() if at_ms >= last_ms
        }
        oldest_ms = self._now_ms - ACCOUNT_KEPT_MS
        self._accounts = {
            key: account
            for key, account in self._accounts.items()
            if account.touched_ms >= oldest_ms
        }
