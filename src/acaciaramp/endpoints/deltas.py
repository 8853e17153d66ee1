"""Puts the deltas of a streamed model answer together."""

from __future__ import annotations

import msgspec


class FunctionDelta(msgspec.Struct, omit_defaults=True):
    """Part of a function call.

    Attributes:
        name: The function's name.
        arguments: Part of its arguments (JSON text).
    """

    name: str | None = None
    arguments: str | None = None


class ToolCallDelta(msgspec.Struct, omit_defaults=True):
    """Part of a tool call.

    Attributes:
        index: Which tool call of the message it belongs to.
        id: The tool call's id.
        type: The tool call's type.
        function: Part of the function call.
    """

    index: int = 0
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class Delta(msgspec.Struct, omit_defaults=True):
    """Part of an assistant message.

    Attributes:
        role: The message's role.
        content: Part of its text.
        refusal: Part of the model's refusal.
        tool_calls: Parts of its tool calls.
    """

    role: str | None = None
    content: str | None = None
    refusal: str | None = None
    tool_calls: list[ToolCallDelta] = []


class FunctionCall(msgspec.Struct):
    """A whole function call.

    Attributes:
        name: The function's name.
        arguments: Its arguments (JSON text).
    """

    name: str = ''
    arguments: str = ''


class ToolCall(msgspec.Struct):
    """A whole tool call.

    Attributes:
        id: Its id.
        type: Its type.
        function: The function call.
    """

    id: str = ''
    type: str = 'function'
    function: FunctionCall = msgspec.field(default_factory=FunctionCall)


class Message(msgspec.Struct, omit_defaults=True):
    """A whole assistant message.

    Attributes:
        role: Its role.
        content: Its text; None where there is none.
        refusal: The model's refusal.
        tool_calls: Its tool calls.
    """

    role: str = msgspec.field(default_factory=lambda: 'assistant')
    content: str | None = msgspec.field(default_factory=lambda: None)
    refusal: str | None = None
    tool_calls: list[ToolCall] = []


class Assembler:
    """Adds deltas up to a message.

    Attributes:
        message: The message so far.
    """

    def __init__(self) -> None:
        """Create the empty message."""
        self.message = Message()
        self._content: list[str] = []

    def add(self, delta: Delta) -> None:
        """Add one delta."""
        if delta.content is not None:
            self._content.append(delta.content)
        if delta.refusal is not None:
            self.message.refusal = (self.message.refusal or '') + delta.refusal
        for part in delta.tool_calls:
            self._add_tool_call(part)

    def assemble(self) -> Message:
        """Return the message of all deltas added."""
        if self._content:
            self.message.content = ''.join(self._content)
        return self.message

    def _add_tool_call(self, part: ToolCallDelta) -> None:
        calls = self.message.tool_calls
        while len(calls) <= part.index:
            calls = [*calls, ToolCall()]
        self.message.tool_calls = calls
        call = calls[part.index]
        call.id = part.id or call.id
        call.type = part.type or call.type
        if part.function is not None:
            call.function.name += part.function.name or ''
            call.function.arguments += part.function.arguments or ''
