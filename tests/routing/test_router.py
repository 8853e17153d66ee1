"""Router matches the longest prefix and ignores older tables."""

from __future__ import annotations

import collections
import random

from acaciaramp.routing.model import Route, Target
from acaciaramp.routing.router import Router
from tests import builders as build


def make_router(*routes: Route, version: int = 1) -> Router:
    router = Router(random.Random(1))
    router.install_table(build.routing_table(*routes, version=version))
    return router


def test_the_longest_prefix_wins() -> None:
    router = make_router(
        build.route(name='short', prefix='/a/'),
        build.route(name='long', prefix='/a/b/'),
        build.route(name='elsewhere', host='other.test', prefix='/a/b/c/'),
    )
    names = {
        path: getattr(router.find_route('example.test', path), 'name', None)
        for path in ('/a/b/c/d', '/a/x', '/a/b', '/b/')
    }
    assert names == {
        '/a/b/c/d': 'long',
        '/a/x': 'short',
        '/a/b': 'short',
        '/b/': None,
    }


def test_older_and_equal_versions_are_ignored() -> None:
    router = make_router(build.route(name='new'), version=5)
    older = build.routing_table(build.route(name='old'), version=4)
    same = build.routing_table(build.route(name='same'), version=5)
    assert not router.install_table(older)
    assert not router.install_table(same)
    route = router.find_route('example.test', '/chat/')
    assert route is not None
    assert route.name == 'new'


def test_services_are_picked_by_weight() -> None:
    route = build.route(targets=(Target(build.MODEL, 3), Target(build.TOOL, 1)))
    router = make_router(route)
    picked = collections.Counter(
        router.pick_service(route) for _ in range(4_000)
    )
    assert 2_800 < picked[build.MODEL] < 3_200


def test_a_removed_key_belongs_to_no_workspace() -> None:
    router = make_router()
    assert router.workspace_for_key(build.KEY) is not None
    router.install_table(build.routing_table(version=2, workspaces=()))
    assert router.workspace_for_key(build.KEY) is None
