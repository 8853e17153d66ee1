"""What the stand-in engine says: a fixed function of the prompt.

Markers in the last message steer it: ``[[tokens:N]]`` asks for N tokens,
``[[call:NAME]]`` for a call of the tool NAME.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.endpoints.deltas import Delta, FunctionDelta, ToolCallDelta

if TYPE_CHECKING:
    from collections.abc import Sequence

_TOKENS = re.compile(r'\[\[tokens:(\d+)\]\]')
_TOOL_CALL = re.compile(r'\[\[call:(\w+)\]\]')


class PromptMessage(msgspec.Struct):
    """One message of a prompt.

    Attributes:
        role: Who speaks.
        content: What is said.
    """

    role: str
    content: Any = None


class Completion(msgspec.Struct):
    """What the engine will say.

    Attributes:
        deltas: The deltas, a token each.
        finish_reason: Why it stops.
    """

    deltas: list[Delta]
    finish_reason: str


def tokenize(messages: Sequence[PromptMessage]) -> list[str]:
    """Return the tokens of a prompt: its words, and one for each role."""
    tokens: list[str] = []
    for message in messages:
        tokens.append(f'<{message.role}>')
        tokens.extend(_text(message).split())
    return tokens


def generate(messages: Sequence[PromptMessage], max_tokens: int) -> Completion:
    """Return the answer to a prompt.

    Args:
        messages: The whole conversation.
        max_tokens: Most tokens of the answer.
    """
    last = _text(messages[-1])
    wanted = _TOOL_CALL.search(last)
    if wanted is not None and messages[-1].role == 'user':
        return _tool_call(wanted.group(1))
    words = _words(messages, last)
    cut = words[:max_tokens]
    deltas = [Delta(content=word) for word in cut]
    return Completion(deltas, 'stop' if len(cut) == len(words) else 'length')


def _words(messages: Sequence[PromptMessage], last: str) -> list[str]:
    text = f'I have read {len(messages)} messages; the last says: {last}'
    words = [f'{word} ' for word in text.split()]
    asked = _TOKENS.search(last)
    if asked is None:
        return words
    count = int(asked.group(1))
    return [words[index % len(words)] for index in range(count)]


def _tool_call(name: str) -> Completion:
    call = ToolCallDelta(
        0, 'call_1', 'function', FunctionDelta(name, '{"asked":')
    )
    rest = ToolCallDelta(0, function=FunctionDelta(None, 'true}'))
    return Completion(
        [Delta(tool_calls=[call]), Delta(tool_calls=[rest])], 'tool_calls'
    )


def _text(message: PromptMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return msgspec.json.encode(message.content).decode()
