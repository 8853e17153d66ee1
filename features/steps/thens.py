"""Steps that check what came of it."""

from __future__ import annotations

import collections
from typing import Any

from anyio import lowlevel
from behave import then
from features.steps import world
from tests import builders as build

_OK = 200


@then('the answer says "{text}"')
def answer_says(context: Any, text: str) -> None:
    """Compare the whole answer of a model call."""
    assert context.reply.status == _OK, context.reply
    choice = context.reply.json['choices'][0]
    said = choice['message']['content']
    assert said.strip() == text, said


@then('the answer is {status:d} "{code}" with the verdict "{verdict}"')
def answer_is_error(context: Any, status: int, code: str, verdict: str) -> None:
    """Compare an error."""
    assert context.reply.status == status, context.reply
    error = context.reply.json['error']
    assert (error['code'], error['verdict']) == (code, verdict), error


@then('the answer has the status {status:d}')
def answer_has_status(context: Any, status: int) -> None:
    """Compare the status."""
    assert context.reply.status == status, context.reply


@then('the answer is the same as before')
def answer_is_same(context: Any) -> None:
    """Compare the answer with the one that was noted."""
    assert context.reply.body == context.noted.body, context.reply


@then('the answer is noted')
def note_answer(context: Any) -> None:
    """Note the answer."""
    context.noted = context.reply


@then('the streamed text is "{text}" and the stream is whole')
def stream_is_whole(context: Any, text: str) -> None:
    """Compare what the client library read."""
    assert context.streamed.strip() == text, context.streamed
    assert context.finish_reason == 'stop'
    assert context.usage.completion_tokens > 0


@then('the tool call is whole')
def tool_call_is_whole(context: Any) -> None:
    """Compare the tool call."""
    function = context.tool_call.function
    assert (function.name, function.arguments) == ('stock', '{"asked":true}')


@then('the engines were asked {count:d} time')
@then('the engines were asked {count:d} times')
def engines_were_asked(context: Any, count: int) -> None:
    """Count the conversations that reached engines."""
    engines = world.deployment(context).engines.values()
    asked = sum(len(engine.prompts) for engine in engines)
    assert asked == count, asked


@then('"{name}" was asked {count:d} times')
def engine_was_asked(context: Any, name: str, count: int) -> None:
    """Count the conversations that reached one engine."""
    asked = len(world.deployment(context).engines[name].prompts)
    assert asked == count, asked


@then('the service carried out {count:d} request')
@then('the service carried out {count:d} requests')
def service_carried_out(context: Any, count: int) -> None:
    """Count executions."""
    executions = world.deployment(context).service.executions
    assert len(executions) == count, executions


@then('no endpoint saw a key')
def no_endpoint_saw_a_key(context: Any) -> None:
    """Search all that endpoints received."""
    deployment = world.deployment(context)
    seen = repr(
        [
            deployment.service.executions,
            [engine.prompts for engine in deployment.engines.values()],
            [engine.headers for engine in deployment.engines.values()],
        ]
    )
    assert build.KEY not in seen
    assert 'authorization' not in seen.lower()


@then('{admitted:d} were admitted and the others refused as over the rate')
def some_were_admitted(context: Any, admitted: int) -> None:
    """Count statuses."""
    counts = collections.Counter(context.statuses)
    assert counts[_OK] == admitted, counts
    assert set(counts) <= {_OK, 429}, counts


@then('{tokens:d} tokens and {calls:d} calls are left')
def budget_is_left(context: Any, tokens: int, calls: int) -> None:
    """Compare the program's budget."""
    reply = world.call(context, 'GET', f'/v1/programs/{context.program}')
    left = reply.json['left']
    assert (left['tokens'], left['calls']) == (tokens, calls), left


@then('the history has {count:d} steps')
def history_has_steps(context: Any, count: int) -> None:
    """Count the steps of the program."""
    path = f'/v1/programs/{context.program}?history=1'
    history = world.call(context, 'GET', path).json['history']
    assert len(history) == count, history


@then('the history has {count:d} steps through instance {instance:d}')
def history_elsewhere(context: Any, count: int, instance: int) -> None:
    """Count the steps of the program at another instance."""
    path = f'/v1/programs/{context.program}?history=1'
    reply = world.call(context, 'GET', path, instance=instance)
    assert len(reply.json['history']) == count, reply


@then('no engine works for the caller any more')
def engines_are_idle(context: Any) -> None:
    """Wait until the cancelled sequences are gone."""
    deployment = world.deployment(context)

    async def wait_idle() -> None:
        for engine in deployment.engines.values():
            while any(not item.is_finished for item in engine.batch.running):
                await lowlevel.checkpoint()

    world.run(context, wait_idle)


@then('an engine still works for the program')
def engine_works(context: Any) -> None:
    """Check that the step was kept."""
    engines = world.deployment(context).engines.values()
    assert any(engine.batch.running for engine in engines)


@then('no engine holds memory')
def engines_hold_nothing(context: Any) -> None:
    """Wait until engines have confirmed the session releases."""
    deployment = world.deployment(context)

    async def flush() -> None:
        for app in deployment.apps.values():
            await app.session_releaser.flush()

    world.run(context, flush)
    held = [
        engine.cache.session_blocks for engine in deployment.engines.values()
    ]
    assert not any(held), held


@then('instance {number:d} counted "{name}" {count:d} time')
@then('instance {number:d} counted "{name}" {count:d} times')
def counted(context: Any, number: int, name: str, count: int) -> None:
    """Compare a counter."""
    counts = world.deployment(context).apps[number].metrics.counts
    assert counts[name] == count, counts
