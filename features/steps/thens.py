"""Steps that check responses, counters and the state of endpoints."""

from __future__ import annotations

import collections
from typing import Any

from anyio import lowlevel
from behave import then
from features.steps import world
from tests import builders as build

_OK = 200


@then('the response text is "{text}"')
def response_text_is(context: Any, text: str) -> None:
    """Check the message content of a chat response."""
    assert context.response.status == _OK, context.response
    choice = context.response.json['choices'][0]
    content = choice['message']['content']
    assert content.strip() == text, content


@then('the response is {status:d} "{code}" with the verdict "{verdict}"')
def response_is_error(
    context: Any, status: int, code: str, verdict: str
) -> None:
    """Check the status, error code and verdict of an error response."""
    assert context.response.status == status, context.response
    error = context.response.json['error']
    assert (error['code'], error['verdict']) == (code, verdict), error


@then('the response has status {status:d}')
def response_has_status(context: Any, status: int) -> None:
    """Check the status."""
    assert context.response.status == status, context.response


@then('the response equals the saved response')
def response_is_same(context: Any) -> None:
    """Check that the body equals that of the saved response."""
    assert context.response.body == context.saved.body, context.response


@then('the response is saved')
def save_response(context: Any) -> None:
    """Save the response for a later comparison."""
    context.saved = context.response


@then('the streamed text is "{text}" and the stream is complete')
def stream_is_complete(context: Any, text: str) -> None:
    """Check the text, finish reason and usage that the library read."""
    assert context.streamed.strip() == text, context.streamed
    assert context.finish_reason == 'stop'
    assert context.usage.completion_tokens > 0


@then('the tool call is complete')
def tool_call_is_complete(context: Any) -> None:
    """Check the function name and arguments of the tool call."""
    function = context.tool_call.function
    assert (function.name, function.arguments) == ('stock', '{"asked":true}')


@then('the engines received {count:d} request')
@then('the engines received {count:d} requests')
def engines_received(context: Any, count: int) -> None:
    """Check the number of prompts that all engines received."""
    engines = world.deployment(context).engines.values()
    received = sum(len(engine.prompts) for engine in engines)
    assert received == count, received


@then('"{name}" received {count:d} requests')
def engine_received(context: Any, name: str, count: int) -> None:
    """Check the number of prompts that one engine received."""
    received = len(world.deployment(context).engines[name].prompts)
    assert received == count, received


@then('the service executed {count:d} request')
@then('the service executed {count:d} requests')
def service_executed(context: Any, count: int) -> None:
    """Check the number of requests that the service executed."""
    executions = world.deployment(context).service.executions
    assert len(executions) == count, executions


@then('no endpoint received an API key')
def no_endpoint_received_key(context: Any) -> None:
    """Search all requests that endpoints received for the API key."""
    deployment = world.deployment(context)
    requests = repr(
        [
            deployment.service.executions,
            [engine.prompts for engine in deployment.engines.values()],
            [engine.headers for engine in deployment.engines.values()],
        ]
    )
    assert build.KEY not in requests
    assert 'authorization' not in requests.lower()


@then('{admitted:d} requests were admitted and the others were rate-limited')
def number_admitted(context: Any, admitted: int) -> None:
    """Check the numbers of successes and of responses with status 429."""
    counts = collections.Counter(context.statuses)
    assert counts[_OK] == admitted, counts
    assert set(counts) <= {_OK, 429}, counts


@then('the remaining budget is {tokens:d} tokens and {calls:d} calls')
def remaining_budget_is(context: Any, tokens: int, calls: int) -> None:
    """Check the remaining budget of the program."""
    response = world.call(context, 'GET', f'/v1/programs/{context.program}')
    left = response.json['left']
    assert (left['tokens'], left['calls']) == (tokens, calls), left


@then('the history has {count:d} steps')
def history_has_steps(context: Any, count: int) -> None:
    """Check the number of steps in the program's history."""
    path = f'/v1/programs/{context.program}?history=1'
    history = world.call(context, 'GET', path).json['history']
    assert len(history) == count, history


@then('the history has {count:d} steps through instance {instance:d}')
def history_has_steps_through(context: Any, count: int, instance: int) -> None:
    """Check the number of steps that an instance returns."""
    path = f'/v1/programs/{context.program}?history=1'
    response = world.call(context, 'GET', path, instance=instance)
    assert len(response.json['history']) == count, response


@then('all engines become idle')
def engines_become_idle(context: Any) -> None:
    """Wait until no engine runs an unfinished sequence."""
    deployment = world.deployment(context)

    async def wait_idle() -> None:
        for engine in deployment.engines.values():
            while any(
                not sequence.is_finished for sequence in engine.batch.running
            ):
                await lowlevel.checkpoint()

    world.run(context, wait_idle)


@then('an engine is still generating for the program')
def engine_is_generating(context: Any) -> None:
    """Check that an engine still runs a sequence."""
    engines = world.deployment(context).engines.values()
    assert any(engine.batch.running for engine in engines)


@then('no engine holds session cache blocks')
def engines_hold_no_blocks(context: Any) -> None:
    """Flush session releases and check that engines hold no blocks."""
    deployment = world.deployment(context)

    async def flush() -> None:
        for app in deployment.apps.values():
            await app.session_releaser.flush()

    world.run(context, flush)
    blocks = [
        engine.cache.session_blocks for engine in deployment.engines.values()
    ]
    assert not any(blocks), blocks


@then('instance {number:d} counted "{name}" {count:d} time')
@then('instance {number:d} counted "{name}" {count:d} times')
def counter_is(context: Any, number: int, name: str, count: int) -> None:
    """Check the value of a counter."""
    counts = world.deployment(context).apps[number].metrics.counts
    assert counts[name] == count, counts
