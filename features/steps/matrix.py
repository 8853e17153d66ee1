"""Steps that inject a fault at a failpoint and retry until an outcome."""

from __future__ import annotations

import errno
import functools
import itertools
from typing import TYPE_CHECKING, Any
from unittest import mock

import anyio
import httpcore
from behave import given, then, when
from features.steps import world
from features.steps.whens import reservation
from tests.failpoints import Failpoint, instrumented_methods

from acaciaramp.storage.store import DiskStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.deployment import Deployment, Response

_OK = 200
_LEADER_NUMBER = 1
_FOLLOWER_NUMBERS = (2, 3)
_RETRY_INTERVAL_S = 0.05
_RETRY_TIMEOUT_S = 60
_OUTCOME_UNKNOWN = 'outcome_unknown'


@given(
    'a deployment of {count:d} instances with a network proxy and persistent storage'
)
def enable_network_proxy(context: Any, count: int) -> None:
    """Use proxied links and disks, with short time-outs for peers."""
    context.deployment_config.instances = count
    context.deployment_config.has_network_proxy = True
    context.deployment_config.has_persistent_storage = True
    context.deployment_config.settings |= {
        'waits': {'peer_ms': 500},
        'links': {'heartbeat_ms': 50, 'silence_ms': 300, 'plain': True},
    }
    context.outcomes = []


@when('{fault} at the point "{point}" of the next call')
def arm_failpoint(context: Any, point: str, fault: str) -> None:
    """Arm a failpoint whose action injects the fault."""
    deployment = world.deployment(context)
    for owner, method, instrumented in instrumented_methods(
        deployment.failpoints
    ):
        patch = mock.patch.object(owner, method, instrumented)
        context.patches.enter_context(patch)
    context.failpoint = Failpoint(point)
    action = functools.partial(_FAULTS[fault], context)
    deployment.failpoints.arm(context.failpoint, action)


@when(
    'a caller retries step {number:d} "{text}" until it completes, starting at instance {first:d}'
)
def retry_step(context: Any, number: int, text: str, first: int) -> None:
    """Retry a chat request until it succeeds, as a caller does."""
    deployment = world.deployment(context)
    send = functools.partial(
        deployment.call,
        'POST',
        '/v1/chat/completions',
        world.chat_body(text),
        headers=world.step_headers(context, number),
    )
    context.response = world.run(
        context, functools.partial(_retry, send, first)
    )


@when(
    'a caller retries the reservation of "{form}" until its outcome is final, starting at instance {first:d}'
)
def retry_reservation(context: Any, form: str, first: int) -> None:
    """Retry a non-idempotent tool call until its outcome is final."""
    deployment = world.deployment(context)
    path = f'/v1/programs/{context.program}/calls'
    send = functools.partial(
        deployment.call, 'POST', path, reservation(1, form)
    )
    send_checked = functools.partial(_send_checked, deployment, send)
    response = world.run(
        context, functools.partial(_retry, send_checked, first)
    )
    context.outcomes.append(response)


@when('the network partition is healed')
def heal_network(context: Any) -> None:
    """Remove all blocks from the network."""
    world.deployment(context).network.heal()


@then('the fault was injected')
def fault_was_injected(context: Any) -> None:
    """Check that the failpoint was reached."""
    reached = world.deployment(context).failpoints.reached
    assert context.failpoint in reached, reached


@then('step 2 received 3 messages and {calls:d} calls were charged')
def step_received_all(context: Any, calls: int) -> None:
    """Check the response text and the calls charged to the budget."""
    choice = context.response.json['choices'][0]
    content = choice['message']['content'].strip()
    assert content == 'I have read 3 messages; the last says: two', content
    state = _read_program(context, _FOLLOWER_NUMBERS[0])
    charged = state['budget']['calls'] - state['left']['calls']
    assert charged == calls, state


@then('every running instance returns the same {count:d} steps')
def all_return_the_same(context: Any, count: int) -> None:
    """Check that all running instances return the same history."""
    deployment = world.deployment(context)
    histories = [
        _read_program(context, number)['history']
        for number in deployment.apps
        if not deployment.stopped_events[number].is_set()
    ]
    assert len(histories) > 1
    assert len(histories[0]) == count, histories[0]
    assert all(history == histories[0] for history in histories), histories


@then('the reservation ran at most once and never after the verdict "not_run"')
def reservation_ran_once(context: Any) -> None:
    """Check that the reservation ran at most once.

    It ran exactly once if the first caller received a success. The verdict
    of each refusal was checked by ``_send_checked`` when it arrived.
    """
    executions = world.deployment(context).service.executions
    if context.outcomes[0].status == _OK:
        assert len(executions) == 1, executions
    assert len(executions) <= 1, executions


@then('both callers received the same outcome')
def outcomes_are_equal(context: Any) -> None:
    """Check that both callers received the same status and body."""
    first, second = context.outcomes
    assert first.status == second.status, context.outcomes
    if first.status == _OK:
        assert first.body == second.body, context.outcomes


def _read_program(context: Any, instance: int) -> Any:
    deployment = world.deployment(context)
    path = f'/v1/programs/{context.program}?history=1'
    send = functools.partial(deployment.call, 'GET', path)
    return world.run(context, functools.partial(_retry, send, instance)).json


async def _retry(
    send: Callable[..., Awaitable[Response]], first: int
) -> Response:
    """Retry until the response is a success or ``outcome_unknown``.

    After a connection error the next instance is tried, as behind a load
    balancer.
    """
    instances = itertools.cycle((first, *_FOLLOWER_NUMBERS))
    instance = next(instances)
    with anyio.fail_after(_RETRY_TIMEOUT_S):
        while True:
            try:
                response = await send(instance=instance)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                instance = next(instances)
                continue
            if response.status == _OK or _code(response) == _OUTCOME_UNKNOWN:
                return response
            await anyio.sleep(_RETRY_INTERVAL_S)


async def _send_checked(
    deployment: Deployment,
    send: Callable[..., Awaitable[Response]],
    instance: int,
) -> Response:
    """Send once; check that nothing ran if the verdict is ``not_run``."""
    response = await send(instance=instance)
    if (
        response.status != _OK
        and response.json['error']['verdict'] == 'not_run'
    ):
        assert not deployment.service.executions, response
    return response


def _code(response: Response) -> str:
    code: str = response.json['error']['code']
    return code


def _kill(number: int, context: Any) -> None:
    world.deployment(context).start_kill(number)


def _isolate_leader(context: Any) -> None:
    _block_to_leader(context)
    _block_from_leader(context)


def _block_to_leader(context: Any) -> None:
    for other in _FOLLOWER_NUMBERS:
        world.deployment(context).network.block(other, _LEADER_NUMBER)


def _block_from_leader(context: Any) -> None:
    for other in _FOLLOWER_NUMBERS:
        world.deployment(context).network.block(_LEADER_NUMBER, other)


def _blackhole_links(context: Any) -> None:
    network = world.deployment(context).network
    for other in _FOLLOWER_NUMBERS:
        network.blackhole_open_links(other, _LEADER_NUMBER)
        network.blackhole_open_links(_LEADER_NUMBER, other)


def _fail_disk(context: Any) -> None:
    sync = DiskStore.sync

    async def sync_failing(self: DiskStore) -> None:
        if f'/entry-{_LEADER_NUMBER}/' in str(self.folder):
            raise OSError(errno.ENOSPC, 'the disk is full')
        await sync(self)

    patch = mock.patch.object(DiskStore, 'sync', sync_failing)
    context.patches.enter_context(patch)


_FAULTS = {
    'its leader dies': functools.partial(_kill, _LEADER_NUMBER),
    'another replica dies': functools.partial(_kill, _FOLLOWER_NUMBERS[1]),
    'its leader is cut off': _isolate_leader,
    'its leader hears nobody': _block_to_leader,
    'nobody hears its leader': _block_from_leader,
    'its open links fall silent': _blackhole_links,
    'the disk of its leader fails': _fail_disk,
}
