"""A table with a mistake never comes into force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from acaciaramp.ids import ServiceName, WorkspaceId
from acaciaramp.routing.checks import InvalidTableError, check_table
from acaciaramp.routing.model import Target, WorkspacePolicy
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.routing.model import RoutingTable


def test_a_sound_table_passes() -> None:
    check_table(build.routing_table())


@pytest.mark.parametrize(
    ('table', 'mistake'),
    [
        (
            build.routing_table(
                build.route(targets=(Target(ServiceName('none'), 1),))
            ),
            'there is no service "none"',
        ),
        (
            build.routing_table(build.route(), build.route(name='other')),
            'two routes serve example.test/chat/',
        ),
        (
            build.routing_table(build.route(targets=(Target(build.MODEL, 0),))),
            'weights are not positive',
        ),
        (build.routing_table(build.route(targets=())), 'weights are not'),
        (
            build.routing_table(build.route(timeout_ms=0)),
            'timeout is not positive',
        ),
        (
            build.routing_table(
                workspaces=(
                    WorkspacePolicy(name=WorkspaceId('a'), keys=('k',)),
                    WorkspacePolicy(name=WorkspaceId('b'), keys=('k',)),
                )
            ),
            'a key belongs to more than one workspace',
        ),
    ],
)
def test_each_mistake_is_named(table: RoutingTable, mistake: str) -> None:
    with pytest.raises(InvalidTableError, match=mistake):
        check_table(table)


def test_all_mistakes_are_named_at_once() -> None:
    table = build.routing_table(
        build.route(timeout_ms=0, targets=(Target(ServiceName('none'), 0),))
    )
    with pytest.raises(InvalidTableError) as caught:
        check_table(table)
    assert len(caught.value.mistakes) == 3
