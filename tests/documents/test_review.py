"""Entries of a valid document that have no effect or contradict others."""

from __future__ import annotations

from typing import Any

from acaciaramp.documents.model import Document
from acaciaramp.documents.review import compare_documents, review_document
from tests import builders as build


def changed(**changes: Any) -> Document:
    """Return the document of the builders with changed parts."""
    return Document.model_validate(build.document_tree() | changes)


def texts(document: Document) -> list[str]:
    return [str(finding) for finding in review_document(document)]


def workspace(name: str, **changes: Any) -> dict[str, Any]:
    tree = dict(build.document_tree()['workspaces'][0])
    return tree | {'name': name} | changes


def test_document_that_contradicts_nothing_has_no_findings() -> None:
    assert texts(build.document()) == []


def test_workspace_that_no_call_belongs_to_is_found() -> None:
    document = changed(
        workspaces=[
            *build.document_tree()['workspaces'],
            workspace('idle', keys=[]),
            workspace('open', keys=[]),
        ],
        routes=[{'service': build.TOOL, 'prefix': '/', 'workspace': 'open'}],
    )
    assert texts(document) == [
        'workspace "idle": has no keys, and no route names it'
    ]


def test_route_that_earlier_ones_shadow_is_found() -> None:
    name = build.document_tree()['workspaces'][0]['name']
    base = {'service': build.TOOL, 'workspace': name}
    document = changed(
        routes=[
            base | {'prefix': '/a', 'methods': ['GET']},
            base | {'prefix': '/', 'methods': ['HEAD', 'POST']},
            base | {'prefix': '/a/b', 'methods': ['GET', 'HEAD']},
            base | {'prefix': '/a/c', 'methods': ['GET', 'PUT']},
        ]
    )
    assert texts(document) == [
        f'routes[2] at {build.TOOL} /a/b: earlier routes take all its requests'
    ]


def test_limits_that_contradict_each_other_are_found() -> None:
    tree = build.document_tree()
    engine, plain = tree['services']
    paths = [
        {'method': 'GET', 'prefix': '/a'},
        {'method': 'GET', 'prefix': '/'},
        {'method': 'PUT', 'prefix': '/a'},
    ]
    document = changed(
        routes=[],
        services=[
            engine | {'max_tokens': 20, 'repeatable': paths[:1]},
            plain | {'repeatable': paths},
        ],
        workspaces=[
            workspace(
                'w', programs={'tokens': 10, 'idle_s': 9, 'deadline_s': 5}
            )
        ],
    )
    assert texts(document) == [
        f'service "{build.MODEL}": has repeatable paths, which only plain '
        'services use',
        f'service "{build.MODEL}": a call without a limit takes 20 tokens, '
        'above the 10 of a program of "w"',
        f'service "{build.TOOL}": the repeatable path GET /a never decides',
        'workspace "w": programs may be idle for 9 s, but last 5 s at most',
    ]


def test_differences_of_documents_are_found() -> None:
    old = build.document()
    new = changed(
        revision=2,
        retention_s=9,
        workspaces=[
            *build.document_tree()['workspaces'],
            workspace('new', keys=[]),
        ],
    )
    found = [str(finding) for finding in compare_documents(old, new)]
    assert found == [
        'document: retention_s changes from 86400 to 9',
        'document: revision changes from 1 to 2',
        'workspace "new": is added',
    ]
    skipped = compare_documents(old, changed(revision=3))
    assert 'is not the one after 1' in str(skipped[0])
