"""Deltas are assembled into the complete message."""

from __future__ import annotations

import msgspec

from acaciaramp.endpoints.deltas import Assembler, Delta
from acaciaramp.fakes.model import PromptMessage, generate


def assemble_json(*deltas: Delta) -> bytes:
    """Return the JSON of the message assembled from the deltas."""
    assembler = Assembler()
    for delta in deltas:
        assembler.add(delta)
    return msgspec.json.encode(assembler.assemble())


def test_content_deltas_are_concatenated() -> None:
    parts = [Delta(role='assistant'), Delta(content='a'), Delta(content='b')]
    assert assemble_json(*parts) == b'{"role":"assistant","content":"ab"}'


def test_tool_call_deltas_are_concatenated() -> None:
    completion = generate([PromptMessage('user', 'please [[call:stock]]')], 10)
    message = msgspec.json.decode(assemble_json(*completion.deltas))
    call = message['tool_calls'][0]
    assert message['content'] is None
    assert call['function'] == {'name': 'stock', 'arguments': '{"asked":true}'}
