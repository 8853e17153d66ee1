"""Steps that configure the deployment and inject faults."""

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
def set_instance_count(context: Any, count: int) -> None:
    """Set the number of instances."""
    context.deployment_config.instances = count


@given('{count:d} engine')
@given('{count:d} engines')
def set_engine_count(context: Any, count: int) -> None:
    """Set the number of engines."""
    context.deployment_config.engines = count


@given('a manual clock')
def use_manual_clock(context: Any) -> None:
    """Use a clock that only advances when the scenario advances it."""
    context.deployment_config.clock = ManualClock()


@given('engines that generate a token every {duration:d} ms')
def set_token_interval(context: Any, duration: int) -> None:
    """Set the time that an engine takes for a token."""
    context.deployment_config.step_timing = StepTiming(step_ms=duration)


@given('workspace "{name}" has a rate of {rate:g} and a burst of {burst:d}')
def set_workspace_rate(
    context: Any, name: str, rate: float, burst: int
) -> None:
    """Set the rate limit of the only workspace."""
    workspace = build.workspace_tree(name, build.KEY, rate=rate, burst=burst)
    context.deployment_config.document['workspaces'] = [workspace]


@given('links secured with TLS certificates')
def enable_tls(context: Any) -> None:
    """Use mutual TLS on the links between instances."""
    context.deployment_config.has_tls = True


@given('rate loans last {duration:d} ms')
def set_loan_duration(context: Any, duration: int) -> None:
    """Set the duration of loans of rate and burst."""
    context.deployment_config.settings['loan_ms'] = duration


@given('a limit of {turns:d} turns per program')
def set_turn_limit(context: Any, turns: int) -> None:
    """Set the turn limit of the workspace's programs."""
    workspace = build.workspace_tree(
        'medina', build.KEY, programs={'turns': turns}
    )
    context.deployment_config.document['workspaces'] = [workspace]


@given('a limit of {count:d} bytes for request bodies')
def set_body_limit(context: Any, count: int) -> None:
    """Set the size limit of callers' request bodies."""
    context.deployment_config.settings['limits'] = {'body_bytes': count}


@given('a program')
def create_program(context: Any) -> None:
    """Create a program with the default budget."""
    response = world.call(
        context, 'POST', '/v1/programs', {'service': 'conseil-lm'}
    )
    context.program = response.json['program']


@given('a program with a budget of {tokens:d} tokens and {calls:d} calls')
def create_limited_program(context: Any, tokens: int, calls: int) -> None:
    """Create a program with a small budget."""
    body = {
        'service': 'conseil-lm',
        'budget': {'tokens': tokens, 'calls': calls},
    }
    response = world.call(context, 'POST', '/v1/programs', body)
    context.program = response.json['program']


@given('"{name}" injects the fault "{kind}" once')
@when('"{name}" injects the fault "{kind}" once')
def add_fault(context: Any, name: str, kind: str) -> None:
    """Inject a fault into the next request to a fake."""
    _inject(context, name, Fault(kind=FaultKind(kind), path=_fault_path(name)))


@given('"{name}" injects the fault "{kind}" {times:d} times')
def add_faults(context: Any, name: str, kind: str, times: int) -> None:
    """Inject a fault into the next requests to a fake."""
    fault = Fault(kind=FaultKind(kind), path=_fault_path(name), times=times)
    _inject(context, name, fault)


@given(
    '"{name}" closes the connection after {count:d} bytes of its next response'
)
def add_cut_response(context: Any, name: str, count: int) -> None:
    """Close the connection in the middle of a fake's next response."""
    fault = Fault(kind=FaultKind.CUT, path=_fault_path(name), after_bytes=count)
    _inject(context, name, fault)


@given('"{name}" refuses to resume streams')
def refuse_stream_resumption(context: Any, name: str) -> None:
    """Make an engine refuse to resume streams."""
    fault = Fault(kind=FaultKind.REFUSE, path='/v1/streams', times=100)
    _inject(context, name, fault)


@given('the instance list marks "{name}" as leaving')
def mark_leaving(context: Any, name: str) -> None:
    """Mark an endpoint as leaving, and make the instances poll the list."""
    deployment = world.deployment(context)
    deployment.instance_list.set(name, InstanceStatus.LEAVING)
    world.run(context, _make_poll(deployment))


def _make_poll(deployment: Any) -> Any:
    async def poll() -> None:
        for app in deployment.apps.values():
            await app.instance_list_poller.poll()

    return poll


def _inject(context: Any, name: str, fault: Fault) -> None:
    world.deployment(context).faults[name].add(fault)


def _fault_path(name: str) -> str:
    return '/v1/chat' if name.startswith('engine') else '/'


@given('all cells are fully replicated')
@when('all cells are fully replicated')
@when('the cells are fully replicated again')
def wait_fully_replicated(context: Any) -> None:
    """Wait until every cell has a leader and its target voters."""
    deployment = world.deployment(context)
    voters = min(3, len(deployment.apps))
    world.run(
        context, functools.partial(deployment.wait_fully_replicated, voters)
    )


@when('instance {number:d} is killed')
def kill_instance(context: Any, number: int) -> None:
    """Cancel an instance without a graceful shutdown."""
    deployment = world.deployment(context)
    world.run(context, functools.partial(deployment.kill, number))


@when('instance {number:d} is restarted')
def restart_instance(context: Any, number: int) -> None:
    """Start an instance that was killed."""
    deployment = world.deployment(context)
    world.run(context, functools.partial(deployment.restart, number))


@given('instances with persistent storage')
def enable_persistent_storage(context: Any) -> None:
    """Give every instance a data folder."""
    context.deployment_config.has_persistent_storage = True
