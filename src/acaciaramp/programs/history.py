"""Message history of a program, sent to engines with each model call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.records import StepKind, StepState

if TYPE_CHECKING:
    from acaciaramp.ids import StepNumber
    from acaciaramp.records import Program

_messages_decoder = msgspec.json.Decoder(list[msgspec.Raw])


def messages_before(record: Program, number: StepNumber) -> list[msgspec.Raw]:
    """Return the messages of the completed model calls before a step.

    Args:
        record: The program.
        number: Number of the step that the messages are for.

    Returns:
        The messages, oldest first, each a JSON object.
    """
    messages: list[msgspec.Raw] = []
    for earlier in range(1, number):
        step = record.steps[earlier]  # type: ignore[index]
        if step.request.kind is not StepKind.CHAT:
            continue
        if step.state is StepState.DONE and step.answer is not None:
            messages.extend(_messages_decoder.decode(step.request.body))
            messages.append(msgspec.Raw(step.answer.body))
    return messages
