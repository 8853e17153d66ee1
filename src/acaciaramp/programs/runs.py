"""Running steps: the answer pieces received so far, and waiting for more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.programs.api import Page

if TYPE_CHECKING:
    from acaciaramp.errors import Refusal
    from acaciaramp.programs.api import Read
    from acaciaramp.records import Answer


class StepRun:
    """One running step on its home instance.

    A new attempt generates the pieces again. While they equal those received
    before, readers are not affected; at the first difference the generation
    is incremented.

    Attributes:
        scope: Cancels the step's task.
        keep: Whether the step continues after its caller has disconnected.
        generation: Incremented when pieces that were read become invalid.
        pieces: Message deltas received so far, each a JSON object.
        answer: The complete answer, once the step is done.
        refusal: Why the step failed, if it did.
    """

    def __init__(self, *, keep: bool) -> None:
        """Create the run of a step that has just started."""
        self.scope = anyio.CancelScope()
        self.keep = keep
        self.generation = 0
        self.pieces: list[bytes] = []
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        # Number of pieces that the new attempt has repeated so far; None once
        # it has repeated all of them or differed.
        self._replayed: int | None = None
        self._changed = anyio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether the step has an answer or has failed."""
        return self.answer is not None or self.refusal is not None

    def restart(self) -> None:
        """Prepare for a new attempt, which sends the pieces from the start."""
        self._replayed = 0

    def append_piece(self, piece: bytes) -> None:
        """Append the next piece unless it repeats one of an earlier attempt."""
        if self._is_replay(piece):
            return
        self.pieces.append(piece)
        self._notify()

    def finish(self, answer: Answer) -> None:
        """Finish the run with its complete answer.

        Drops the pieces of earlier attempts that the last one did not repeat.
        """
        if self._replayed is not None and self._replayed < len(self.pieces):
            self._truncate(self._replayed)
        self.answer = answer
        self._notify()

    def fail(self, refusal: Refusal) -> None:
        """Finish the run without an answer."""
        self.refusal = refusal
        self._notify()

    async def wait_for_update(self, req: Read) -> None:
        """Return once there is more than the reader has."""
        while not self._has_update(req):
            await self.wait_change()

    def make_page(self, req: Read) -> Page:
        """Return everything that the reader does not have.

        A reader of an older generation gets the pieces from the first one on; a
        reader that wants only the complete answer gets none.
        """
        start = req.cursor if req.generation == self.generation else 0
        if req.is_whole:
            start = len(self.pieces)
        return Page(
            generation=self.generation,
            cursor=len(self.pieces),
            pieces=self.pieces[start:],
            answer=self.answer,
            refusal=self.refusal,
        )

    async def wait_change(self) -> None:
        """Return at the next piece or at the end of the run."""
        await self._changed.wait()

    def _has_update(self, req: Read) -> bool:
        if self.is_finished:
            return True
        if req.is_whole:
            return False
        is_behind = req.cursor < len(self.pieces)
        return is_behind or req.generation != self.generation

    def _is_replay(self, piece: bytes) -> bool:
        """Return whether a piece equals the one at its index in ``pieces``.

        The comparison with the earlier attempt ends after its last piece, or at
        the first difference, from which on its pieces are dropped.
        """
        if self._replayed is None:
            return False
        if self._replayed == len(self.pieces):
            self._replayed = None
            return False
        if self.pieces[self._replayed] == piece:
            self._replayed += 1
            return True
        self._truncate(self._replayed)
        self._replayed = None
        return False

    def _truncate(self, length: int) -> None:
        self.pieces = self.pieces[:length]
        self.generation += 1

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
