"""Routes are found by host and longest prefix; tables never go back."""

from __future__ import annotations

import collections
import random

from acaciaramp.routing.model import Route, Target
from acaciaramp.routing.router import Router
from tests import builders as build


def router(*routes: Route, version: int = 1) -> Router:
    found = Router(random.Random(1))
    found.install_table(build.routing_table(*routes, version=version))
    return found


def test_the_longest_prefix_wins() -> None:
    found = router(
        build.route(name='short', prefix='/a/'),
        build.route(name='long', prefix='/a/b/'),
        build.route(name='elsewhere', host='other.test', prefix='/a/b/c/'),
    )
    names = {
        path: getattr(found.find('example.test', path), 'name', None)
        for path in ('/a/b/c/d', '/a/x', '/a/b', '/b/')
    }
    assert names == {
        '/a/b/c/d': 'long',
        '/a/x': 'short',
        '/a/b': 'short',
        '/b/': None,
    }


def test_an_older_table_changes_nothing() -> None:
    found = router(build.route(name='new'), version=5)
    older = build.routing_table(build.route(name='old'), version=4)
    same = build.routing_table(build.route(name='same'), version=5)
    assert not found.install_table(older)
    assert not found.install_table(same)
    route = found.find('example.test', '/chat/')
    assert route is not None
    assert route.name == 'new'


def test_services_are_picked_by_weight() -> None:
    route = build.route(targets=(Target(build.MODEL, 3), Target(build.TOOL, 1)))
    found = router(route)
    picked = collections.Counter(
        found.pick_service(route) for _ in range(4_000)
    )
    assert 2_800 < picked[build.MODEL] < 3_200


def test_a_key_that_was_taken_away_acts_for_nobody() -> None:
    found = router()
    assert found.workspace_for_key(build.KEY) is not None
    found.install_table(build.routing_table(version=2, workspaces=()))
    assert found.workspace_for_key(build.KEY) is None
