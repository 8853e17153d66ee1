"""check_table reports every error of a routing table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from acaciaramp.ids import ServiceName, WorkspaceId
from acaciaramp.routing.checks import InvalidTableError, check_table
from acaciaramp.routing.model import Target, WorkspacePolicy
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.routing.model import RoutingTable


def test_a_consistent_table_passes() -> None:
    check_table(build.routing_table())


@pytest.mark.parametrize(
    ('table', 'message'),
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
def test_each_error_is_reported(table: RoutingTable, message: str) -> None:
    with pytest.raises(InvalidTableError, match=message):
        check_table(table)


def test_all_errors_are_reported_together() -> None:
    table = build.routing_table(
        build.route(timeout_ms=0, targets=(Target(ServiceName('none'), 0),))
    )
    with pytest.raises(InvalidTableError) as raised:
        check_table(table)
    assert len(raised.value.mistakes) == 3
