"""Follows a step from an entry instance until its whole answer is there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.endpoints.deltas import (
    Assembler,
    Delta,
    FunctionDelta,
    Message,
    ToolCall,
    ToolCallDelta,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.programs import api
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from acaciaramp.entry.context import EntryContext
    from acaciaramp.ids import ProgramId, StepNumber, WorkspaceId
    from acaciaramp.records import Answer

READ_WAIT_MS = 10_000


class StepReader:
    """Reads the answer of one step, piece by piece or whole.

    Attributes:
        answer: The whole answer, once it has come.
    """

    def __init__(
        self,
        ctx: EntryContext,
        workspace: WorkspaceId,
        program: ProgramId,
        number: StepNumber,
    ) -> None:
        """Create the reader at the beginning of the answer."""
        self.answer: Answer | None = None
        self._ctx = ctx
        self._workspace = workspace
        self._program = program
        self._number = number
        self._generation = 0
        self._cursor = 0
        self._assembler = Assembler()
        self._was_read = False

    async def whole(self) -> Answer:
        """Return the whole answer.

        Raises:
            CallError: The step failed, or its home cannot be reached.
        """
        while self.answer is None:
            await self._next_page(is_whole=True)
        return self.answer

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the deltas (JSON objects) until the answer is whole.

        Raises:
            CallError: The step failed, its home cannot be reached, or another
                attempt gave other text than what was read already.
        """
        while self.answer is None:
            page = await self._next_page(is_whole=False)
            if self.answer is None:
                for piece in self._new_pieces(page):
                    yield piece
        for delta in self._rest(self.answer):
            yield msgspec.json.encode(delta)

    async def _next_page(self, *, is_whole: bool) -> api.Page:
        page = await self._ctx.router.read(
            api.Read(
                program=self._program,
                workspace=self._workspace,
                number=self._number,
                generation=self._generation,
                cursor=self._cursor,
                wait_ms=READ_WAIT_MS,
                is_whole=is_whole,
            )
        )
        if page.refusal is not None:
            raise CallError.from_refusal(page.refusal)
        self.answer = page.answer
        return page

    def _new_pieces(self, page: api.Page) -> list[bytes]:
        if page.generation != self._generation:
            if self._was_read:
                raise _restarted()
            self._generation = page.generation
        self._cursor = page.cursor
        for piece in page.pieces:
            self._was_read = True
            self._assembler.add(msgspec.json.decode(piece, type=Delta))
        return page.pieces

    def _rest(self, answer: Answer) -> list[Delta]:
        """Return the deltas that are missing to the whole message."""
        message = msgspec.json.decode(answer.body, type=Message)
        read = self._assembler.assemble()
        text = message.content or ''
        read_text = read.content or ''
        if not text.startswith(read_text):
            raise _restarted()
        if read.tool_calls not in ([], message.tool_calls):
            raise _restarted()
        rest = Delta(content=text[len(read_text) :] or None)
        if not read.tool_calls:
            rest.tool_calls = _as_deltas(message.tool_calls)
        return [] if rest == Delta() else [rest]


def _as_deltas(calls: list[ToolCall]) -> list[ToolCallDelta]:
    return [
        ToolCallDelta(
            index,
            call.id,
            call.type,
            FunctionDelta(call.function.name, call.function.arguments),
        )
        for index, call in enumerate(calls)
    ]


def _restarted() -> CallError:
    return CallError(
        ErrorCode.STREAM_RESTARTED,
        'the answer was made anew and differs from what was sent; read the step',
        Verdict.RAN,
    )
