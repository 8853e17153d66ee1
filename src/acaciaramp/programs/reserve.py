"""The worst case of a step, reserved from the budget before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.records import Budget, StepKind

if TYPE_CHECKING:
    from acaciaramp.records import Program, Step, StepRequest

# A byte-level tokenizer makes at most one token of a byte; the chat template
# adds a few around the new messages.
_TEMPLATE_TOKENS = 16


def worst_case(record: Program, request: StepRequest, default: int) -> Budget:
    """Return the most that a step can use.

    A model call without an output limit of its own gets ``default``, or less
    where the budget leaves less.

    Args:
        record: The program, for the tokens of its history and its budget.
        request: The step's request.
        default: Output limit of the service, tokens.
    """
    if request.kind is StepKind.TOOL:
        return Budget(tokens=0, calls=1)
    prompt = _prompt_bound(record, request)
    output = request.max_tokens
    if not output:
        output = max(1, min(default, record.left.tokens - prompt))
    return Budget(tokens=prompt + output, calls=1)


def output_limit(record: Program, step: Step) -> int:
    """Return the output limit that the reserve of a running step allows."""
    return step.reserved.tokens - _prompt_bound(record, step.request)


def _prompt_bound(record: Program, request: StepRequest) -> int:
    """Return an upper bound on the prompt tokens of a model call."""
    new = len(request.body) + len(request.options)
    return record.context_tokens + new + _TEMPLATE_TOKENS
