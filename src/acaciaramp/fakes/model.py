"""Deterministic completions of the fake engine.

Markers in the last message control the completion: ``[[tokens:N]]`` requests
N tokens and, in a message of the user, ``[[call:NAME]]`` a call of the tool
NAME.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.endpoints.deltas import Delta, FunctionDelta, ToolCallDelta

if TYPE_CHECKING:
    from collections.abc import Sequence

_TOKEN_COUNT = re.compile(r'\[\[tokens:(\d+)\]\]')
_TOOL_CALL = re.compile(r'\[\[call:(\w+)\]\]')


class PromptMessage(msgspec.Struct):
    """One message of a prompt.

    Attributes:
        role: Role of the sender.
        content: Text or structured content.
    """

    role: str
    content: Any = None


class Completion(msgspec.Struct):
    """A whole completion.

    Attributes:
        deltas: The deltas, one token each.
        finish_reason: Why the completion ends, as in the chat format.
    """

    deltas: list[Delta]
    finish_reason: str


def tokenize(messages: Sequence[PromptMessage]) -> list[str]:
    """Return the tokens of a prompt: one per role and one per word."""
    tokens: list[str] = []
    for message in messages:
        tokens.append(f'<{message.role}>')
        tokens.extend(_message_text(message).split())
    return tokens


def generate(messages: Sequence[PromptMessage], max_tokens: int) -> Completion:
    """Return the completion of a prompt.

    Args:
        messages: The whole conversation.
        max_tokens: Maximum number of tokens of a text; tool calls are never
            truncated.
    """
    last_text = _message_text(messages[-1])
    tool_match = _TOOL_CALL.search(last_text)
    if tool_match is not None and messages[-1].role == 'user':
        return _tool_call(tool_match.group(1))
    words = _words(messages, last_text)
    kept = words[:max_tokens]
    deltas = [Delta(content=word) for word in kept]
    return Completion(deltas, 'stop' if len(kept) == len(words) else 'length')


def _words(messages: Sequence[PromptMessage], last_text: str) -> list[str]:
    text = f'I have read {len(messages)} messages; the last says: {last_text}'
    words = [f'{word} ' for word in text.split()]
    count_match = _TOKEN_COUNT.search(last_text)
    if count_match is None:
        return words
    count = int(count_match.group(1))
    return [words[index % len(words)] for index in range(count)]


def _tool_call(name: str) -> Completion:
    first = ToolCallDelta(
        0, 'call_1', 'function', FunctionDelta(name, '{"asked":')
    )
    second = ToolCallDelta(0, function=FunctionDelta(None, 'true}'))
    return Completion(
        [Delta(tool_calls=[first]), Delta(tool_calls=[second])], 'tool_calls'
    )


def _message_text(message: PromptMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return msgspec.json.encode(message.content).decode()
