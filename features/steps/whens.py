"""Steps in which callers send requests and instances are stopped."""

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


@when('step {number:d} sends "{text}" through instance {instance:d}')
def send_step(context: Any, number: int, text: str, instance: int) -> None:
    """Send a chat request as a step of the program."""
    world.call(
        context,
        'POST',
        '/v1/chat/completions',
        world.chat_body(text),
        instance=instance,
        headers=world.step_headers(context, number),
    )


@when('step {number:d} reserves "{form}" through instance {instance:d}')
def send_reservation(
    context: Any, number: int, form: str, instance: int
) -> None:
    """Send a non-idempotent tool call as a step of the program."""
    world.call(
        context,
        'POST',
        f'/v1/programs/{context.program}/calls',
        reservation(number, form),
        instance=instance,
    )


@when('a caller sends "{text}" without a program')
def send_without_program(context: Any, text: str) -> None:
    """Send a chat request that is a program of its own."""
    world.call(context, 'POST', '/v1/chat/completions', world.chat_body(text))


@when(
    'a caller sends {count:d} concurrent requests through {instances:d} instances'
)
def send_concurrently(context: Any, count: int, instances: int) -> None:
    """Send requests concurrently and store the response statuses."""
    deployment = world.deployment(context)
    send = functools.partial(_send_concurrently, deployment, count, instances)
    context.statuses = world.run(context, send)


@when('step {number:d} is streamed with the openai library')
def stream_step(context: Any, number: int) -> None:
    """Stream a step with the public client library."""
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


@when('the openai library requests a tool call')
def request_tool_call(context: Any) -> None:
    """Send a prompt to which the fake engine replies with a tool call."""
    address = world.deployment(context).address()
    client = openai.OpenAI(base_url=f'{address}/v1', api_key=build.KEY)
    answer = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': 'please [[call:stock]]'}],
    )
    context.tool_call = answer.choices[0].message.tool_calls[0]


@when('the program is read with the key of another workspace')
def read_as_other_workspace(context: Any) -> None:
    """Read the program with the API key of another workspace."""
    path = f'/v1/programs/{context.program}'
    world.call(context, 'GET', path, key=build.OTHER_KEY)


@when('the caller reads step {number:d} through instance {instance:d}')
def read_step(context: Any, number: int, instance: int) -> None:
    """Read the recorded response of a step."""
    path = f'/v1/programs/{context.program}/steps/{number}'
    world.call(context, 'GET', path, instance=instance)


@when('the caller ends the program')
def end_program(context: Any) -> None:
    """End the program."""
    world.call(context, 'DELETE', f'/v1/programs/{context.program}')


@when('the caller sends "{method}" "{path}"')
def send_with_default_key(context: Any, method: str, path: str) -> None:
    """Send a request with the API key."""
    world.call(context, method, path)


@when('a caller without a key sends "{method}" "{path}"')
def send_without_key(context: Any, method: str, path: str) -> None:
    """Send a request without an API key."""
    world.call(context, method, path, key='')


@when('a caller with the key "{key}" sends "{method}" "{path}"')
def send_with_key(context: Any, method: str, path: str, key: str) -> None:
    """Send a request with the given API key."""
    world.call(context, method, path, key=key)


@when(
    'the caller orders "{form}" with the idempotency key "{key}" through instance {instance:d}'
)
def send_order(context: Any, form: str, key: str, instance: int) -> None:
    """Send a request with an idempotency key to a plain service."""
    world.call(
        context,
        'POST',
        '/v1/services/atelier-app/orders',
        {'form': form},
        instance=instance,
        headers={'Idempotency-Key': key},
    )


@when('a caller orders "{form}" and "{name}" sends no response')
def order_without_response(context: Any, form: str, name: str) -> None:
    """Send a request to a plain service that never responds."""
    deployment = world.deployment(context)
    func = functools.partial(_order_without_response, deployment, form, name)
    context.response = world.run(context, func)


@when('the caller disconnects during {what}')
def disconnect(context: Any, what: str) -> None:
    """Close the connection while the engine is generating."""
    headers = {}
    if what == 'a step':
        headers = world.step_headers(context, 1)
    deployment = world.deployment(context)
    world.run(context, functools.partial(_disconnect, deployment, headers))


@when('instance {victim:d} is killed while step {number:d} is in flight')
def kill_during_step(context: Any, victim: int, number: int) -> None:
    """Kill the leader while a caller waits at another instance."""
    deployment = world.deployment(context)
    headers = world.step_headers(context, number)
    func = functools.partial(_kill_during_step, deployment, victim, headers)
    context.response = world.run(context, func)


@when('instance {victim:d} is killed while step {number:d} reserves "{form}"')
def kill_during_reservation(
    context: Any, victim: int, number: int, form: str
) -> None:
    """Kill the leader after it has sent a non-idempotent call."""
    deployment = world.deployment(context)
    deployment.faults['atelier-1'].add(Fault(kind=FaultKind.SILENT))
    func = functools.partial(
        _kill_during_reservation,
        deployment,
        victim,
        context.program,
        number,
        form,
    )
    context.response = world.run(context, func)


@when('instance {number:d} is shut down during a call')
def stop_during_call(context: Any, number: int) -> None:
    """Shut an instance down while a call is in flight."""
    deployment = world.deployment(context)
    func = functools.partial(_stop_during_call, deployment, number)
    context.response = world.run(context, func)


@when('instance {number:d} is shut down')
def stop_instance(context: Any, number: int) -> None:
    """Shut an instance down gracefully."""
    deployment = world.deployment(context)

    async def stop() -> None:
        deployment.stop_events[number].set()
        await deployment.stopped_events[number].wait()

    world.run(context, stop)


def reservation(number: int, form: str) -> dict[str, Any]:
    """Return the body of a non-idempotent tool call."""
    return {
        'step': number,
        'service': 'atelier-app',
        'path': '/reservations',
        'body': {'form': form},
    }


async def _send_concurrently(
    deployment: Deployment, count: int, instances: int
) -> list[int]:
    statuses: list[int] = []

    async def send_one(number: int) -> None:
        response = await deployment.call(
            'POST',
            '/v1/chat/completions',
            world.chat_body('hello'),
            instance=number % instances + 1,
        )
        statuses.append(response.status)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send_one, number)
    return statuses


async def _order_without_response(
    deployment: Deployment, form: str, name: str
) -> Any:
    responses = []

    async def send() -> None:
        path = '/v1/services/atelier-app/orders'
        responses.append(await deployment.call('POST', path, {'form': form}))

    clock: Any = deployment.config.clock
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await deployment.faults[name].wait_silenced(1)
        clock.advance(15_000)
    return responses[0]


async def _disconnect(deployment: Deployment, headers: dict[str, str]) -> None:
    body = world.chat_body('[[tokens:1000000]]', max_tokens=100_000)
    call = functools.partial(
        deployment.call, 'POST', '/v1/chat/completions', body, headers=headers
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await _wait_generating(deployment)
        tasks.cancel_scope.cancel()


async def _kill_during_step(
    deployment: Deployment, victim: int, headers: dict[str, str]
) -> Any:
    responses = []

    async def send() -> None:
        body = world.chat_body('[[tokens:40]]')
        responses.append(
            await deployment.call(
                'POST',
                '/v1/chat/completions',
                body,
                instance=2,
                headers=headers,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await _wait_generating(deployment)
        await deployment.kill(victim)
    return responses[0]


async def _kill_during_reservation(
    deployment: Deployment, victim: int, program: str, number: int, form: str
) -> Any:
    responses = []

    async def send() -> None:
        responses.append(
            await deployment.call(
                'POST',
                f'/v1/programs/{program}/calls',
                reservation(number, form),
                instance=2,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await deployment.faults['atelier-1'].wait_silenced(1)
        await deployment.kill(victim)
    return responses[0]


async def _wait_generating(deployment: Deployment) -> None:
    while not any(
        engine.batch.running for engine in deployment.engines.values()
    ):
        await anyio.lowlevel.checkpoint()


async def _stop_during_call(deployment: Deployment, number: int) -> Any:
    responses = []

    async def send() -> None:
        body = world.chat_body('[[tokens:40]]')
        responses.append(
            await deployment.call('POST', '/v1/chat/completions', body)
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await _wait_generating(deployment)
        deployment.stop_events[number].set()
    await deployment.stopped_events[number].wait()
    return responses[0]
