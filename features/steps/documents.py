"""Steps about documents and operators."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio
from anyio import lowlevel
from behave import then, when
from features.steps import world
from tests import builders as build

if TYPE_CHECKING:
    from tests.deployment import Deployment, Reply

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
    """Withdraw a workspace's keys."""
    _apply(context, revision, instance, withdrawn=name)


@when(
    'an operator applies revision {revision:d} with the key of "{name}" '
    'through instance {instance:d}'
)
def apply_with_key(
    context: Any, revision: int, name: str, instance: int
) -> None:
    """Apply a document with all keys."""
    _apply(context, revision, instance)


@when(
    'an operator applies revision {revision:d} without the key of "{name}" '
    'through a living instance'
)
def apply_at_living(context: Any, revision: int, name: str) -> None:
    """Withdraw a workspace's keys through any instance that lives."""
    living = _living(world.deployment(context))
    _apply(context, revision, living[0], withdrawn=name)


@when('{count:d} operators apply different documents of revision 2 at once')
def apply_at_once(context: Any, count: int) -> None:
    """Let operators race."""
    deployment = world.deployment(context)
    work = functools.partial(_race, deployment, count)
    context.replies = world.run(context, work)


@when('an operator applies a document with two mistakes')
def apply_mistakes(context: Any) -> None:
    """Send a document that must be refused."""
    tree = world.deployment(context).document_tree(2)
    tree['workspaces'][0]['rate'] = -1
    tree['stages'] = 'trial'
    context.reply = _put(context, tree, 1, build.OPERATOR_KEY)


@when('an operator gives "{name}" a rate of {rate:g} and a burst of {burst:d}')
def apply_rate(context: Any, name: str, rate: float, burst: int) -> None:
    """Change the limits of the only workspace in revision 2."""
    tree = world.deployment(context).document_tree(2)
    tree['workspaces'][0] |= {'name': name, 'rate': rate, 'burst': burst}
    context.reply = _put(context, tree, 1, build.OPERATOR_KEY)


@when('a stranger applies a document')
def apply_as_stranger(context: Any) -> None:
    """Send a document with a wrong operators' key."""
    tree = world.deployment(context).document_tree(2)
    context.reply = _put(context, tree, 1, build.KEY)


@when('the instance that leads the control group is killed')
def kill_control_leader(context: Any) -> None:
    """Kill the control leader."""
    deployment = world.deployment(context)

    async def kill() -> None:
        while not _control_leaders(deployment):
            await lowlevel.checkpoint()
        await deployment.kill(_control_leaders(deployment)[0])

    world.run(context, kill)


@when('the caller asks every instance')
def ask_every(context: Any) -> None:
    """Read a program that does not exist at every instance."""
    context.replies = [
        _ask(context, number) for number in world.deployment(context).apps
    ]


@when('the caller asks instance {number:d}')
def ask_one(context: Any, number: int) -> None:
    """Read a program that does not exist at one instance."""
    context.replies = [_ask(context, number)]


@then('the operator is told "{outcome}" and revision {revision:d}')
def operator_is_told(context: Any, outcome: str, revision: int) -> None:
    """Compare what became of the document."""
    told = context.reply.json
    assert (told['outcome'], told['revision']) == (outcome, revision), told


@when('revision {revision:d} comes into force on every instance')
@then('revision {revision:d} comes into force on every instance')
@then('revision {revision:d} comes into force on every living instance')
def revision_comes_into_force(context: Any, revision: int) -> None:
    """Wait until every living instance has a revision."""
    deployment = world.deployment(context)

    async def wait() -> None:
        while any(
            deployment.apps[number].revision != revision
            for number in _living(deployment)
        ):
            await lowlevel.checkpoint()

    world.run(context, wait)


@then('every answer is {status:d} "{code}"')
def every_answer_is(context: Any, status: int, code: str) -> None:
    """Compare all answers."""
    for reply in context.replies:
        found = reply.status, reply.json['error']['code']
        assert found == (status, code), reply


@then('one was accepted and the others were told of a conflict')
def one_was_accepted(context: Any) -> None:
    """Count what the operators were told."""
    statuses = sorted(reply.status for reply in context.replies)
    conflicts = [_CONFLICT for _ in statuses[1:]]
    assert statuses == [_OK, *conflicts], statuses


@then('every instance has the same document')
def same_document(context: Any) -> None:
    """Compare the documents in force."""
    deployment = world.deployment(context)

    async def wait() -> None:
        while (
            len({app.active_document_json for app in deployment.apps.values()})
            > 1
        ):
            await lowlevel.checkpoint()

    world.run(context, wait)


@then('the answer has the status {status:d} and names {count:d} mistakes')
def names_mistakes(context: Any, status: int, count: int) -> None:
    """Count the mistakes told."""
    assert context.reply.status == status
    assert len(context.reply.json['mistakes']) == count, context.reply


def _apply(
    context: Any, revision: int, instance: int, withdrawn: str = ''
) -> None:
    tree = world.deployment(context).document_tree(revision)
    for workspace in tree['workspaces']:
        if workspace['name'] == withdrawn:
            workspace['keys'] = []
    context.reply = _put(context, tree, instance, build.OPERATOR_KEY)


def _put(context: Any, tree: Any, instance: int, key: str) -> Reply:
    deployment = world.deployment(context)
    ask = functools.partial(
        deployment.call_operator_api,
        'PUT',
        _PATH,
        tree,
        instance=instance,
        key=key,
    )
    reply: Reply = world.run(context, ask)
    return reply


def _ask(context: Any, number: int) -> Reply:
    return world.call(
        context, 'GET', '/v1/programs/p.entry-1.x', instance=number
    )


def _living(deployment: Deployment) -> list[int]:
    return [
        number
        for number, stopped in deployment.stopped.items()
        if not stopped.is_set()
    ]


def _control_leaders(deployment: Deployment) -> list[int]:
    return [
        number
        for number in _living(deployment)
        if deployment.apps[number].is_control_leader
    ]


async def _race(deployment: Deployment, count: int) -> list[Reply]:
    replies: list[Reply] = []

    async def one(number: int) -> None:
        tree = deployment.document_tree(2)
        tree['retention_s'] = number + 1
        replies.append(
            await deployment.call_operator_api(
                'PUT', _PATH, tree, instance=number % 3 + 1
            )
        )

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(one, number)
    return replies
