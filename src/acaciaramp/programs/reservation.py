"""Worst-case use of a step, reserved in the budget before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.records import Budget, StepKind

if TYPE_CHECKING:
    from acaciaramp.records import Program, Step, StepRequest

# A byte-level tokenizer makes at most one token of each byte; the chat template
# adds a few tokens around the new messages.
_TEMPLATE_TOKENS = 16


def worst_case_budget(
    record: Program, request: StepRequest, default_output: int
) -> Budget:
    """Return the most tokens and calls that a step can use.

    A model call without an output limit of its own gets ``default_output``, or
    what remains of the budget if that is less.

    Args:
        record: The program, for the tokens of its history and its budget.
        request: The step's request.
        default_output: Default output limit of the service, tokens.
    """
    if request.kind is StepKind.TOOL:
        return Budget(tokens=0, calls=1)
    prompt = _max_prompt_tokens(record, request)
    output = request.max_tokens
    if not output:
        output = max(1, min(default_output, record.remaining.tokens - prompt))
    return Budget(tokens=prompt + output, calls=1)


def output_limit(record: Program, step: Step) -> int:
    """Return the output limit in tokens that a step's reservation allows."""
    return step.reserved.tokens - _max_prompt_tokens(record, step.request)


def _max_prompt_tokens(record: Program, request: StepRequest) -> int:
    """Return an upper bound on the prompt tokens of a model call."""
    new_bytes = len(request.body) + len(request.options)
    return record.context_tokens + new_bytes + _TEMPLATE_TOKENS
