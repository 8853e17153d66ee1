"""The history of a program, as engines and callers read it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.records import StepKind, StepState

if TYPE_CHECKING:
    from acaciaramp.ids import StepNumber
    from acaciaramp.records import Program

_messages = msgspec.json.Decoder(list[msgspec.Raw])


def messages_before(record: Program, number: StepNumber) -> list[msgspec.Raw]:
    """Return all messages of the model calls before a step, oldest first.

    Args:
        record: The program.
        number: The step that the messages are for.

    Returns:
        One JSON object a message.
    """
    messages: list[msgspec.Raw] = []
    for earlier in range(1, number):
        step = record.steps[earlier]  # type: ignore[index]
        if step.request.kind is not StepKind.CHAT:
            continue
        if step.state is StepState.DONE and step.answer is not None:
            messages.extend(_messages.decode(step.request.body))
            messages.append(msgspec.Raw(step.answer.body))
    return messages
