"""Reads the answer of a step from the program's home, page by page."""

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

# Long-poll time of one read request; the home then replies with an empty page.
READ_WAIT_MS = 10_000


class StepReader:
    """Reads the answer of one step, complete or as a stream of deltas.

    Attributes:
        answer: The complete answer, None until it has arrived.
    """

    def __init__(
        self,
        ctx: EntryContext,
        workspace: WorkspaceId,
        program: ProgramId,
        number: StepNumber,
    ) -> None:
        """Create a reader at the start of the answer.

        Args:
            ctx: Components of the instance.
            workspace: Workspace of the caller.
            program: The program.
            number: Number of the step.
        """
        self.answer: Answer | None = None
        self._ctx = ctx
        self._workspace = workspace
        self._program = program
        self._number = number
        self._generation = 0
        self._cursor = 0
        self._assembler = Assembler()
        self._has_yielded = False

    async def read_answer(self) -> Answer:
        """Wait for the complete answer and return it.

        Raises:
            CallError: The step failed, or the home of the program cannot be
                reached.
        """
        while self.answer is None:
            await self._read_page(is_whole=True)
        return self.answer

    async def stream_deltas(self) -> AsyncIterator[bytes]:
        """Yield the deltas (JSON objects) until the answer is complete.

        A retry of the step that gives other deltas than the attempt before
        begins a new generation. Its deltas cannot be streamed once some of the
        previous generation have been yielded; only a complete answer that
        begins with those is accepted then.

        Raises:
            CallError: The step failed, the home of the program cannot be
                reached, or a retry differs from what was already yielded.
        """
        while self.answer is None:
            page = await self._read_page(is_whole=False)
            if self.answer is None:
                for delta in self._accept_deltas(page):
                    yield delta
        for missing in self._missing_deltas(self.answer):
            yield msgspec.json.encode(missing)

    async def _read_page(self, *, is_whole: bool) -> api.Page:
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

    def _accept_deltas(self, page: api.Page) -> list[bytes]:
        """Advance the cursor past a page and return its deltas.

        Raises:
            CallError: The page has a new generation after deltas were yielded.
        """
        if page.generation != self._generation:
            if self._has_yielded:
                raise _restarted_error()
            self._generation = page.generation
        self._cursor = page.cursor
        for delta in page.pieces:
            self._has_yielded = True
            self._assembler.add(msgspec.json.decode(delta, type=Delta))
        return page.pieces

    def _missing_deltas(self, answer: Answer) -> list[Delta]:
        """Return the deltas of the answer that have not been yielded yet.

        Raises:
            CallError: The answer does not begin with what was yielded.
        """
        message = msgspec.json.decode(answer.body, type=Message)
        yielded = self._assembler.assemble()
        text = message.content or ''
        yielded_text = yielded.content or ''
        if not text.startswith(yielded_text):
            raise _restarted_error()
        if yielded.tool_calls not in ([], message.tool_calls):
            raise _restarted_error()
        missing = Delta(content=text[len(yielded_text) :] or None)
        if not yielded.tool_calls:
            missing.tool_calls = _tool_call_deltas(message.tool_calls)
        return [] if missing == Delta() else [missing]


def _tool_call_deltas(calls: list[ToolCall]) -> list[ToolCallDelta]:
    return [
        ToolCallDelta(
            index,
            call.id,
            call.type,
            FunctionDelta(call.function.name, call.function.arguments),
        )
        for index, call in enumerate(calls)
    ]


def _restarted_error() -> CallError:
    return CallError(
        ErrorCode.STREAM_RESTARTED,
        'the answer was made anew and differs from what was sent; read the step',
        Verdict.RAN,
    )
