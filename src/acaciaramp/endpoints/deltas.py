"""Assembles the deltas of a streamed model response into a message."""

from __future__ import annotations

import msgspec

from acaciaramp.errors import AcaciarampError

MAX_TOOL_CALLS = 1_000


class DeltaError(AcaciarampError):
    """A delta does not fit into a message."""


class FunctionDelta(msgspec.Struct, omit_defaults=True):
    """Delta of a function call.

    Attributes:
        name: The function's name.
        arguments: Part of its arguments (JSON text).
    """

    name: str | None = None
    arguments: str | None = None


class ToolCallDelta(msgspec.Struct, omit_defaults=True):
    """Delta of a tool call.

    Attributes:
        index: Position of the tool call in the message.
        id: The tool call's id.
        type: The tool call's type.
        function: Part of the function call.
    """

    index: int = 0
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class Delta(msgspec.Struct, omit_defaults=True):
    """Delta of an assistant message.

    Attributes:
        role: The message's role.
        content: Part of its text.
        refusal: Part of the text with which the model declines.
        tool_calls: Deltas of its tool calls.
    """

    role: str | None = None
    content: str | None = None
    refusal: str | None = None
    tool_calls: list[ToolCallDelta] = []


class FunctionCall(msgspec.Struct):
    """A complete function call.

    Attributes:
        name: The function's name.
        arguments: Its arguments (JSON text).
    """

    name: str = ''
    arguments: str = ''


class ToolCall(msgspec.Struct):
    """A complete tool call.

    Attributes:
        id: Its id.
        type: Its type.
        function: The function call.
    """

    id: str = ''
    type: str = 'function'
    function: FunctionCall = msgspec.field(default_factory=FunctionCall)


class Message(msgspec.Struct, omit_defaults=True):
    """A complete assistant message.

    ``role`` and ``content`` have default factories because ``omit_defaults``
    would otherwise omit them from messages in which they have their default.

    Attributes:
        role: Its role.
        content: Its text, None if it has none.
        refusal: Text with which the model declines.
        tool_calls: Its tool calls.
    """

    role: str = msgspec.field(default_factory=lambda: 'assistant')
    content: str | None = msgspec.field(default_factory=lambda: None)
    refusal: str | None = None
    tool_calls: list[ToolCall] = []


class Assembler:
    """Assembles a message from its deltas.

    Attributes:
        message: The message so far; its content is set by ``assemble``.
    """

    def __init__(self) -> None:
        """Start with an empty message."""
        self.message = Message()
        self._content: list[str] = []

    def add(self, delta: Delta) -> None:
        """Append a delta to the message.

        Raises:
            DeltaError: It has a tool call with an index that is out of range.
        """
        if delta.content is not None:
            self._content.append(delta.content)
        if delta.refusal is not None:
            self.message.refusal = (self.message.refusal or '') + delta.refusal
        for part in delta.tool_calls:
            self._add_tool_call(part)

    def assemble(self) -> Message:
        """Return the message assembled from the deltas added so far."""
        if self._content:
            self.message.content = ''.join(self._content)
        return self.message

    def _add_tool_call(self, part: ToolCallDelta) -> None:
        if not 0 <= part.index < MAX_TOOL_CALLS:
            raise DeltaError(f'tool call {part.index} is out of range')
        calls = self.message.tool_calls
        missing = part.index + 1 - len(calls)
        calls = [*calls, *(ToolCall() for _ in range(missing))]
        self.message.tool_calls = calls
        call = calls[part.index]
        call.id = part.id or call.id
        call.type = part.type or call.type
        if part.function is not None:
            call.function.name += part.function.name or ''
            call.function.arguments += part.function.arguments or ''
