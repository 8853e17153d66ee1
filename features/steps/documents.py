"""Steps in which operators apply documents."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio
from anyio import lowlevel
from behave import then, when
from features.steps import world
from tests import builders as build

if TYPE_CHECKING:
    from tests.deployment import Deployment, Response

_PATH = '/v1/environment'
_OK = 200
_CONFLICT = 409


@when(
    'an operator applies revision {revision:d} without the key of "{name}" '
    'through instance {instance:d}'
)
def apply_without_key(
    context: Any, revision: int, name: str, instance: int
) -> None:
    """Apply a document without the API keys of a workspace."""
    _apply(context, revision, instance, withdrawn=name)


@when(
    'an operator applies revision {revision:d} with the key of "{name}" '
    'through instance {instance:d}'
)
def apply_with_key(
    context: Any, revision: int, name: str, instance: int
) -> None:
    """Apply a document with the API keys of all workspaces."""
    _apply(context, revision, instance)


@when(
    'an operator applies revision {revision:d} without the key of "{name}" '
    'through a running instance'
)
def apply_through_running(context: Any, revision: int, name: str) -> None:
    """Withdraw a workspace's API keys through any running instance."""
    running = _running(world.deployment(context))
    _apply(context, revision, running[0], withdrawn=name)


@when(
    '{count:d} operators apply different documents of revision 2 concurrently'
)
def apply_concurrently(context: Any, count: int) -> None:
    """Apply documents of the same revision concurrently."""
    deployment = world.deployment(context)
    func = functools.partial(_apply_concurrently, deployment, count)
    context.responses = world.run(context, func)


@when('an operator applies a document with two validation errors')
def apply_invalid_document(context: Any) -> None:
    """Apply a document that fails validation."""
    tree = world.deployment(context).document_tree(2)
    tree['workspaces'][0]['rate'] = -1
    tree['stages'] = 'trial'
    context.response = _put(context, tree, 1, build.OPERATOR_KEY)


@when(
    'an operator sets workspace "{name}" to a rate of {rate:g} and a burst of {burst:d}'
)
def apply_rate(context: Any, name: str, rate: float, burst: int) -> None:
    """Apply revision 2 with another rate limit for the first workspace."""
    tree = world.deployment(context).document_tree(2)
    tree['workspaces'][0] |= {'name': name, 'rate': rate, 'burst': burst}
    context.response = _put(context, tree, 1, build.OPERATOR_KEY)


@when('a document is applied with a workspace key')
def apply_with_workspace_key(context: Any) -> None:
    """Apply a document with a key that is not an operator key."""
    tree = world.deployment(context).document_tree(2)
    context.response = _put(context, tree, 1, build.KEY)


@when('the leader of the control group is killed')
def kill_control_leader(context: Any) -> None:
    """Wait for a leader of the control group and kill its instance."""
    deployment = world.deployment(context)

    async def kill() -> None:
        while not _control_leaders(deployment):
            await lowlevel.checkpoint()
        await deployment.kill(_control_leaders(deployment)[0])

    world.run(context, kill)


@when('the caller reads an unknown program through every instance')
def read_through_every(context: Any) -> None:
    """Read a program that does not exist through every instance."""
    context.responses = [
        _read_unknown_program(context, number)
        for number in world.deployment(context).apps
    ]


@when('the caller reads an unknown program through instance {number:d}')
def read_through_one(context: Any, number: int) -> None:
    """Read a program that does not exist through one instance."""
    context.responses = [_read_unknown_program(context, number)]


@then('the outcome is "{outcome}" with revision {revision:d}')
def document_outcome_is(context: Any, outcome: str, revision: int) -> None:
    """Check the outcome and the revision in the response."""
    answer = context.response.json
    assert (answer['outcome'], answer['revision']) == (outcome, revision), (
        answer
    )


@when('revision {revision:d} becomes active on every instance')
@then('revision {revision:d} becomes active on every instance')
@then('revision {revision:d} becomes active on every running instance')
def revision_becomes_active(context: Any, revision: int) -> None:
    """Wait until a revision is active on every running instance."""
    deployment = world.deployment(context)

    async def wait() -> None:
        while any(
            deployment.apps[number].revision != revision
            for number in _running(deployment)
        ):
            await lowlevel.checkpoint()

    world.run(context, wait)


@then('every response is {status:d} "{code}"')
def every_response_is(context: Any, status: int, code: str) -> None:
    """Check the status and error code of all responses."""
    for response in context.responses:
        actual = response.status, response.json['error']['code']
        assert actual == (status, code), response


@then('one document was accepted and the others were refused as conflicts')
def one_was_accepted(context: Any) -> None:
    """Check that one response is a success and all others conflicts."""
    statuses = sorted(response.status for response in context.responses)
    conflicts = [_CONFLICT for _ in statuses[1:]]
    assert statuses == [_OK, *conflicts], statuses


@then('every instance has the same active document')
def have_same_document(context: Any) -> None:
    """Wait until all instances have the same active document."""
    deployment = world.deployment(context)

    async def wait() -> None:
        while (
            len({app.active_document_json for app in deployment.apps.values()})
            > 1
        ):
            await lowlevel.checkpoint()

    world.run(context, wait)


@then(
    'the response has status {status:d} and lists {count:d} validation errors'
)
def lists_validation_errors(context: Any, status: int, count: int) -> None:
    """Check the status and the number of validation errors."""
    assert context.response.status == status
    assert len(context.response.json['mistakes']) == count, context.response


def _apply(
    context: Any, revision: int, instance: int, withdrawn: str = ''
) -> None:
    tree = world.deployment(context).document_tree(revision)
    for workspace in tree['workspaces']:
        if workspace['name'] == withdrawn:
            workspace['keys'] = []
    context.response = _put(context, tree, instance, build.OPERATOR_KEY)


def _put(context: Any, tree: Any, instance: int, key: str) -> Response:
    deployment = world.deployment(context)
    send = functools.partial(
        deployment.call_operator_api,
        'PUT',
        _PATH,
        tree,
        instance=instance,
        key=key,
    )
    response: Response = world.run(context, send)
    return response


def _read_unknown_program(context: Any, number: int) -> Response:
    return world.call(
        context, 'GET', '/v1/programs/p.entry-1.x', instance=number
    )


def _running(deployment: Deployment) -> list[int]:
    return [
        number
        for number, stopped in deployment.stopped_events.items()
        if not stopped.is_set()
    ]


def _control_leaders(deployment: Deployment) -> list[int]:
    return [
        number
        for number in _running(deployment)
        if deployment.apps[number].is_control_leader
    ]


async def _apply_concurrently(
    deployment: Deployment, count: int
) -> list[Response]:
    responses: list[Response] = []

    async def apply_one(number: int) -> None:
        tree = deployment.document_tree(2)
        tree['retention_s'] = number + 1
        responses.append(
            await deployment.call_operator_api(
                'PUT', _PATH, tree, instance=number % 3 + 1
            )
        )

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(apply_one, number)
    return responses
