"""Steps that set the scene."""

from __future__ import annotations

import functools
from typing import Any

from behave import given, when
from features.steps import world
from tests import builders as build

from acaciaramp.clock import ManualClock
from acaciaramp.fakes.batching import StepTiming
from acaciaramp.fakes.faults import Fault, FaultKind
from acaciaramp.membership.instance_list import InstanceStatus


@given('a deployment of {count:d} instance')
@given('a deployment of {count:d} instances')
def plan_instances(context: Any, count: int) -> None:
    """Plan the number of instances."""
    context.plan.instances = count


@given('{count:d} engine')
@given('{count:d} engines')
def plan_engines(context: Any, count: int) -> None:
    """Plan the number of engines."""
    context.plan.engines = count


@given('a clock that the scenario moves')
def plan_clock(context: Any) -> None:
    """Use a clock that moves only when told."""
    context.plan.clock = ManualClock()


@given('engines that give a token every {duration:d} ms')
def plan_pace(context: Any, duration: int) -> None:
    """Let engines take their time."""
    context.plan.pace = StepTiming(step_ms=duration)


@given('workspace "{name}" has a rate of {rate:g} and a burst of {burst:d}')
def plan_rate(context: Any, name: str, rate: float, burst: int) -> None:
    """Limit a workspace."""
    limited = build.workspace_tree(name, build.KEY, rate=rate, burst=burst)
    context.plan.document['workspaces'] = [limited]


@given('links with certificates')
def plan_keys(context: Any) -> None:
    """Secure the links between instances."""
    context.plan.has_keys = True


@given('loans last {duration:d} ms')
def plan_loans(context: Any, duration: int) -> None:
    """Choose how long loans of rate and burst last."""
    context.plan.settings['loan_ms'] = duration


@given('programs of the workspace have at most {turns:d} turns')
def plan_turns(context: Any, turns: int) -> None:
    """Limit the turns of programs."""
    limited = build.workspace_tree(
        'medina', build.KEY, programs={'turns': turns}
    )
    context.plan.document['workspaces'] = [limited]


@given('a limit of {count:d} bytes for bodies')
def plan_body_limit(context: Any, count: int) -> None:
    """Limit the bodies of callers."""
    context.plan.settings['limits'] = {'body_bytes': count}


@given('a program')
def create_program(context: Any) -> None:
    """Create a program with the default budget."""
    reply = world.call(
        context, 'POST', '/v1/programs', {'service': 'conseil-lm'}
    )
    context.program = reply.json['program']


@given('a program with a budget of {tokens:d} tokens and {calls:d} calls')
def create_limited_program(context: Any, tokens: int, calls: int) -> None:
    """Create a program with a small budget."""
    body = {
        'service': 'conseil-lm',
        'budget': {'tokens': tokens, 'calls': calls},
    }
    reply = world.call(context, 'POST', '/v1/programs', body)
    context.program = reply.json['program']


@given('"{name}" shows the fault "{kind}" once')
@when('"{name}" shows the fault "{kind}" once')
def add_fault(context: Any, name: str, kind: str) -> None:
    """Let a stand-in show a fault at its next call."""
    _add(context, name, Fault(kind=FaultKind(kind), path=_path(name)))


@given('"{name}" shows the fault "{kind}" {times:d} times')
def add_faults(context: Any, name: str, kind: str, times: int) -> None:
    """Let a stand-in show a fault at its next calls."""
    fault = Fault(kind=FaultKind(kind), path=_path(name), times=times)
    _add(context, name, fault)


@given('"{name}" cuts its next answer after {count:d} bytes')
def add_cut(context: Any, name: str, count: int) -> None:
    """Let a stand-in cut an answer in the middle."""
    fault = Fault(kind=FaultKind.CUT, path=_path(name), after_bytes=count)
    _add(context, name, fault)


@given('"{name}" forgets its streams')
def forget_streams(context: Any, name: str) -> None:
    """Let an engine refuse to resume."""
    fault = Fault(kind=FaultKind.REFUSE, path='/v1/streams', times=100)
    _add(context, name, fault)


@given('the platform says that "{name}" is leaving')
def say_leaving(context: Any, name: str) -> None:
    """Announce that an endpoint leaves, and let instances read it."""
    deployment = world.deployment(context)
    deployment.instance_list.set(name, InstanceStatus.LEAVING)
    world.run(context, _poll_of(deployment))


def _poll_of(deployment: Any) -> Any:
    async def poll() -> None:
        for app in deployment.apps.values():
            await app.instance_list_poller.poll()

    return poll


def _add(context: Any, name: str, fault: Fault) -> None:
    world.deployment(context).faults[name].add(fault)


def _path(name: str) -> str:
    return '/v1/chat' if name.startswith('engine') else '/'


@given('all cells are at full strength')
@when('all cells are at full strength')
@when('the cells are repaired')
def wait_strength(context: Any) -> None:
    """Wait until every cell has its leader and its voters."""
    deployment = world.deployment(context)
    voters = min(3, len(deployment.apps))
    world.run(
        context, functools.partial(deployment.wait_fully_replicated, voters)
    )


@when('instance {number:d} is killed')
def kill_instance(context: Any, number: int) -> None:
    """End an instance at once."""
    deployment = world.deployment(context)
    world.run(context, functools.partial(deployment.kill, number))


@when('instance {number:d} is started again')
def restart_instance(context: Any, number: int) -> None:
    """Start an instance that was killed."""
    deployment = world.deployment(context)
    world.run(context, functools.partial(deployment.restart, number))


@given('instances that keep their state on disk')
def plan_disks(context: Any) -> None:
    """Give every instance a folder of its own."""
    context.plan.has_disks = True
