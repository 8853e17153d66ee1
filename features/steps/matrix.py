"""Steps that cause a fault at a point of a call and insist on an answer."""

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
from tests.failpoints import Point, patches

from acaciaramp.storage.store import DiskStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.deployment import Deployment, Reply

_OK = 200
_LEADER = 1
_OTHERS = (2, 3)
_PAUSE_S = 0.05
_HANG_S = 60
_UNKNOWN = 'outcome_unknown'


@given('a deployment of {count:d} instances on a network and disks')
def plan_network(context: Any, count: int) -> None:
    """Put a network that can be cut between instances with disks."""
    context.plan.instances = count
    context.plan.has_network = True
    context.plan.has_disks = True
    context.plan.settings |= {
        'waits': {'peer_ms': 500},
        'links': {'heartbeat_ms': 50, 'silence_ms': 300, 'plain': True},
    }
    context.told = []


@when('at the point "{point}" of a call {fault}')
def set_trap(context: Any, point: str, fault: str) -> None:
    """Cause a fault at the cell's leader when a call reaches a point."""
    deployment = world.deployment(context)
    for kind, method, told in patches(deployment.failpoints):
        patch = mock.patch.object(kind, method, told)
        context.patched.enter_context(patch)
    context.point = Point(point)
    action = functools.partial(_FAULTS[fault], context)
    deployment.failpoints.arm(context.point, action)


@when('a caller insists on step {number:d} "{text}" through instance {first:d}')
def insist_on_step(context: Any, number: int, text: str, first: int) -> None:
    """Ask for a turn until it is answered, as a caller does."""
    deployment = world.deployment(context)
    ask = functools.partial(
        deployment.call,
        'POST',
        '/v1/chat/completions',
        world.chat_body(text),
        headers=world.step_headers(context, number),
    )
    context.reply = world.run(context, functools.partial(_insist, ask, first))


@when('a caller insists on reserving "{form}" through instance {first:d}')
def insist_on_reserving(context: Any, form: str, first: int) -> None:
    """Ask for a call that must not be repeated until its outcome is told."""
    deployment = world.deployment(context)
    path = f'/v1/programs/{context.program}/calls'
    ask = functools.partial(deployment.call, 'POST', path, reservation(1, form))
    checked = functools.partial(_checked, deployment, ask)
    reply = world.run(context, functools.partial(_insist, checked, first))
    context.told.append(reply)


@when('the network is whole again')
def mend_network(context: Any) -> None:
    """Let everything pass."""
    world.deployment(context).network.heal()


@then('the fault was caused')
def fault_was_caused(context: Any) -> None:
    """Check that the call came by the point."""
    reached = world.deployment(context).failpoints.reached
    assert context.point in reached, reached


@then('step 2 read 3 messages and {calls:d} calls were charged')
def step_read_all(context: Any, calls: int) -> None:
    """Compare the last answer, and the budget that is left."""
    choice = context.reply.json['choices'][0]
    said = choice['message']['content'].strip()
    assert said == 'I have read 3 messages; the last says: two', said
    shown = _shown(context, _OTHERS[0])
    charged = shown['budget']['calls'] - shown['left']['calls']
    assert charged == calls, shown


@then('every living instance shows the same {count:d} steps')
def all_show_the_same(context: Any, count: int) -> None:
    """Compare the history at every instance that lives."""
    deployment = world.deployment(context)
    histories = [
        _shown(context, number)['history']
        for number in deployment.apps
        if not deployment.stopped[number].is_set()
    ]
    assert len(histories) > 1
    assert len(histories[0]) == count, histories[0]
    assert all(item == histories[0] for item in histories), histories


@then(
    'the reservation was carried out at most once and never when told not run'
)
def reserved_once(context: Any) -> None:
    """Count the executions; each answer was checked as it came."""
    executions = world.deployment(context).service.executions
    if context.told[0].status == _OK:
        assert len(executions) == 1, executions
    assert len(executions) <= 1, executions


@then('both callers were told the same')
def told_the_same(context: Any) -> None:
    """Compare the outcomes."""
    first, second = context.told
    assert first.status == second.status, context.told
    if first.status == _OK:
        assert first.body == second.body, context.told


def _shown(context: Any, instance: int) -> Any:
    deployment = world.deployment(context)
    path = f'/v1/programs/{context.program}?history=1'
    ask = functools.partial(deployment.call, 'GET', path)
    return world.run(context, functools.partial(_insist, ask, instance)).json


async def _insist(ask: Callable[..., Awaitable[Reply]], first: int) -> Reply:
    """Ask until there is an answer, or an outcome that cannot be known.

    When the instance has died, the balancer's next one is asked.
    """
    instances = itertools.cycle((first, *_OTHERS))
    instance = next(instances)
    with anyio.fail_after(_HANG_S):
        while True:
            try:
                reply = await ask(instance=instance)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                instance = next(instances)
                continue
            if reply.status == _OK or _code(reply) == _UNKNOWN:
                return reply
            await anyio.sleep(_PAUSE_S)


async def _checked(
    deployment: Deployment, ask: Callable[..., Awaitable[Reply]], instance: int
) -> Reply:
    """Ask once; an answer that says not run must be true."""
    reply = await ask(instance=instance)
    if reply.status != _OK and reply.json['error']['verdict'] == 'not_run':
        assert not deployment.service.executions, reply
    return reply


def _code(reply: Reply) -> str:
    code: str = reply.json['error']['code']
    return code


def _die(number: int, context: Any) -> None:
    world.deployment(context).start_kill(number)


def _cut_off(context: Any) -> None:
    _be_deaf(context)
    _be_mute(context)


def _be_deaf(context: Any) -> None:
    for other in _OTHERS:
        world.deployment(context).network.block(other, _LEADER)


def _be_mute(context: Any) -> None:
    for other in _OTHERS:
        world.deployment(context).network.block(_LEADER, other)


def _fall_silent(context: Any) -> None:
    network = world.deployment(context).network
    for other in _OTHERS:
        network.blackhole_open_links(other, _LEADER)
        network.blackhole_open_links(_LEADER, other)


def _fail_disk(context: Any) -> None:
    sync = DiskStore.sync

    async def failing(self: DiskStore) -> None:
        if f'/entry-{_LEADER}/' in str(self.folder):
            raise OSError(errno.ENOSPC, 'the disk is full')
        await sync(self)

    patch = mock.patch.object(DiskStore, 'sync', failing)
    context.patched.enter_context(patch)


_FAULTS = {
    'its leader dies': functools.partial(_die, _LEADER),
    'another replica dies': functools.partial(_die, _OTHERS[1]),
    'its leader is cut off': _cut_off,
    'its leader hears nobody': _be_deaf,
    'nobody hears its leader': _be_mute,
    'its open links fall silent': _fall_silent,
    'the disk of its leader fails': _fail_disk,
}
