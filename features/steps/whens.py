"""Steps in which callers act."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio
import openai
from behave import when
from features.steps import world
from tests import builders as build

from acaciaramp.fakes.faults import Fault, FaultKind

if TYPE_CHECKING:
    from tests.deployment import Deployment


@when('step {number:d} says "{text}" through instance {instance:d}')
def say(context: Any, number: int, text: str, instance: int) -> None:
    """Take a turn."""
    world.call(
        context,
        'POST',
        '/v1/chat/completions',
        world.chat_body(text),
        instance=instance,
        headers=world.step_headers(context, number),
    )


@when('step {number:d} reserves "{form}" through instance {instance:d}')
def reserve(context: Any, number: int, form: str, instance: int) -> None:
    """Call a tool that must not be repeated."""
    world.call(
        context,
        'POST',
        f'/v1/programs/{context.program}/calls',
        reservation(number, form),
        instance=instance,
    )


@when('a caller says "{text}" without a program')
def say_alone(context: Any, text: str) -> None:
    """Make a program of one call."""
    world.call(context, 'POST', '/v1/chat/completions', world.chat_body(text))


@when(
    'a caller sends {count:d} requests at once through {instances:d} instances'
)
def flood(context: Any, count: int, instances: int) -> None:
    """Send many requests and keep the statuses."""
    deployment = world.deployment(context)
    ask = functools.partial(_flood, deployment, count, instances)
    context.statuses = world.run(context, ask)


@when('step {number:d} is streamed with the openai library')
def stream(context: Any, number: int) -> None:
    """Stream a turn with the public client library."""
    address = world.deployment(context).address()
    client = openai.OpenAI(
        base_url=f'{address}/v1', api_key=build.KEY, max_retries=0
    )
    chunks = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': 'stream to me'}],
        stream=True,
        stream_options={'include_usage': True},
        extra_headers=world.step_headers(context, number),
    )
    context.streamed = ''
    context.finish_reason = None
    for chunk in chunks:
        for choice in chunk.choices:
            context.streamed += choice.delta.content or ''
            context.finish_reason = choice.finish_reason
        context.usage = chunk.usage


@when('the openai library asks for a tool call')
def ask_tool_call(context: Any) -> None:
    """Ask the model to call a tool, whole and streamed."""
    address = world.deployment(context).address()
    client = openai.OpenAI(base_url=f'{address}/v1', api_key=build.KEY)
    answer = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': 'please [[call:stock]]'}],
    )
    context.tool_call = answer.choices[0].message.tool_calls[0]


@when('another workspace reads the program')
def read_as_other(context: Any) -> None:
    """Read the program with another workspace's key."""
    path = f'/v1/programs/{context.program}'
    world.call(context, 'GET', path, key=build.OTHER_KEY)


@when('the caller reads step {number:d} through instance {instance:d}')
def read_step(context: Any, number: int, instance: int) -> None:
    """Read the answer of a step again."""
    path = f'/v1/programs/{context.program}/steps/{number}'
    world.call(context, 'GET', path, instance=instance)


@when('the caller ends the program')
def end_program(context: Any) -> None:
    """End the program."""
    world.call(context, 'DELETE', f'/v1/programs/{context.program}')


@when('the caller calls "{method}" "{path}"')
def call_path(context: Any, method: str, path: str) -> None:
    """Call any path with the key."""
    world.call(context, method, path)


@when('a caller without a key calls "{method}" "{path}"')
def call_without_key(context: Any, method: str, path: str) -> None:
    """Call any path without a key."""
    world.call(context, method, path, key='')


@when('a caller with the key "{key}" calls "{method}" "{path}"')
def call_with_key(context: Any, method: str, path: str, key: str) -> None:
    """Call any path with another key."""
    world.call(context, method, path, key=key)


@when(
    'the caller orders "{form}" with the idempotency key "{key}" through instance {instance:d}'
)
def order(context: Any, form: str, key: str, instance: int) -> None:
    """Call a plain service so that a resend is safe."""
    world.call(
        context,
        'POST',
        '/v1/services/atelier-app/orders',
        {'form': form},
        instance=instance,
        headers={'Idempotency-Key': key},
    )


@when('a caller orders "{form}" and "{name}" stays silent')
def order_into_silence(context: Any, form: str, name: str) -> None:
    """Call a plain service that accepts and says nothing."""
    deployment = world.deployment(context)
    work = functools.partial(_order_into_silence, deployment, form, name)
    context.reply = world.run(context, work)


@when('the caller goes away in the middle of {what}')
def go_away(context: Any, what: str) -> None:
    """Close the connection while the engine still works."""
    headers = {}
    if what == 'a step':
        headers = world.step_headers(context, 1)
    deployment = world.deployment(context)
    world.run(context, functools.partial(_go_away, deployment, headers))


@when('instance {victim:d} is killed while step {number:d} is under way')
def kill_in_step(context: Any, victim: int, number: int) -> None:
    """Kill the instance that leads, while the caller waits at another one."""
    deployment = world.deployment(context)
    headers = world.step_headers(context, number)
    work = functools.partial(_kill_in_step, deployment, victim, headers)
    context.reply = world.run(context, work)


@when('instance {victim:d} is killed while step {number:d} reserves "{form}"')
def kill_in_reservation(
    context: Any, victim: int, number: int, form: str
) -> None:
    """Kill the instance that has sent a call that must not be repeated."""
    deployment = world.deployment(context)
    deployment.faults['atelier-1'].add(Fault(kind=FaultKind.SILENT))
    work = functools.partial(
        _kill_in_reservation, deployment, victim, context.program, number, form
    )
    context.reply = world.run(context, work)


@when('a call is under way and instance {number:d} is told to stop')
def stop_in_call(context: Any, number: int) -> None:
    """Stop an instance while a call is under way."""
    deployment = world.deployment(context)
    work = functools.partial(_stop_in_call, deployment, number)
    context.reply = world.run(context, work)


@when('instance {number:d} is told to stop')
def stop_instance(context: Any, number: int) -> None:
    """Stop an instance as planned."""
    deployment = world.deployment(context)

    async def stop() -> None:
        deployment.stops[number].set()
        await deployment.stopped[number].wait()

    world.run(context, stop)


def reservation(number: int, form: str) -> dict[str, Any]:
    """Return the body of a tool call that must not be repeated."""
    return {
        'step': number,
        'service': 'atelier-app',
        'path': '/reservations',
        'body': {'form': form},
    }


async def _flood(
    deployment: Deployment, count: int, instances: int
) -> list[int]:
    statuses: list[int] = []

    async def one(number: int) -> None:
        reply = await deployment.call(
            'POST',
            '/v1/chat/completions',
            world.chat_body('hello'),
            instance=number % instances + 1,
        )
        statuses.append(reply.status)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(one, number)
    return statuses


async def _order_into_silence(
    deployment: Deployment, form: str, name: str
) -> Any:
    replies = []

    async def work() -> None:
        path = '/v1/services/atelier-app/orders'
        replies.append(await deployment.call('POST', path, {'form': form}))

    clock: Any = deployment.plan.clock
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        await deployment.faults[name].wait_silenced(1)
        clock.advance(15_000)
    return replies[0]


async def _go_away(deployment: Deployment, headers: dict[str, str]) -> None:
    body = world.chat_body('[[tokens:1000000]]', max_tokens=100_000)
    call = functools.partial(
        deployment.call, 'POST', '/v1/chat/completions', body, headers=headers
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await _engine_works(deployment)
        tasks.cancel_scope.cancel()


async def _kill_in_step(
    deployment: Deployment, victim: int, headers: dict[str, str]
) -> Any:
    replies = []

    async def work() -> None:
        body = world.chat_body('[[tokens:40]]')
        replies.append(
            await deployment.call(
                'POST',
                '/v1/chat/completions',
                body,
                instance=2,
                headers=headers,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        await _engine_works(deployment)
        await deployment.kill(victim)
    return replies[0]


async def _kill_in_reservation(
    deployment: Deployment, victim: int, program: str, number: int, form: str
) -> Any:
    replies = []

    async def work() -> None:
        replies.append(
            await deployment.call(
                'POST',
                f'/v1/programs/{program}/calls',
                reservation(number, form),
                instance=2,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        await deployment.faults['atelier-1'].wait_silenced(1)
        await deployment.kill(victim)
    return replies[0]


async def _engine_works(deployment: Deployment) -> None:
    while not any(
        engine.batch.running for engine in deployment.engines.values()
    ):
        await anyio.lowlevel.checkpoint()


async def _stop_in_call(deployment: Deployment, number: int) -> Any:
    replies = []

    async def work() -> None:
        body = world.chat_body('[[tokens:40]]')
        replies.append(
            await deployment.call('POST', '/v1/chat/completions', body)
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        await _engine_works(deployment)
        deployment.stops[number].set()
    await deployment.stopped[number].wait()
    return replies[0]
