"""TLS on links: untrusted peers, wrong addresses, changed files."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import anyio
import pytest
import trustme

from acaciaramp.clock import SystemClock
from acaciaramp.errors import CallError
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.link import Link
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.server import Address, serve_peers
from acaciaramp.peering.tls import TlsContexts, TlsError
from tests import builders as build

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_WAIT_MS = 5_000
_SHORT_WAIT_MS = 500


async def run_with_link(
    server: TlsContexts | None,
    client: TlsContexts | None,
    host: str,
    work: Callable[[Link], Awaitable[None]],
) -> Metrics:
    """Run ``work`` on a link to a server; return the server's metrics."""
    address = Address(host, 7000)
    metrics = Metrics()
    clock = SystemClock()
    link = Link('entry-2', address, clock, Metrics(), tls=client)

    async def echo(body: bytes) -> bytes:
        return body

    async with anyio.create_task_group() as tasks:
        await tasks.start(
            serve_peers,
            address,
            {Channel.PROGRAMS: echo},
            clock,
            metrics,
            server,
        )
        tasks.start_soon(link.run)
        await work(link)
        tasks.cancel_scope.cancel()
    return metrics


async def assert_reply(link: Link) -> None:
    assert await link.request(Channel.PROGRAMS, b'x', _WAIT_MS) == b'x'


async def assert_unreachable(link: Link) -> None:
    with pytest.raises(CallError):
        await link.request(Channel.PROGRAMS, b'x', _SHORT_WAIT_MS)


def test_instances_of_the_same_authority_connect(
    tmp_path: pathlib.Path,
) -> None:
    host = build.loopback_host()
    authority = trustme.CA()
    one = TlsContexts(
        build.issue_certificate(tmp_path / 'one', authority, host)
    )
    two = TlsContexts(
        build.issue_certificate(tmp_path / 'two', authority, host)
    )
    metrics = anyio.run(run_with_link, one, two, host, assert_reply)
    assert metrics.counts['link.rejected'] == 0


@pytest.mark.parametrize('has_certificate', [True, False])
def test_peers_without_a_trusted_certificate_are_rejected(
    tmp_path: pathlib.Path, has_certificate: bool
) -> None:
    host = build.loopback_host()
    server = TlsContexts(
        build.issue_certificate(tmp_path / 'one', trustme.CA(), host)
    )
    client = None
    if has_certificate:
        client = TlsContexts(
            build.issue_certificate(tmp_path / 'two', trustme.CA(), host)
        )
    metrics = anyio.run(run_with_link, server, client, host, assert_unreachable)
    assert metrics.counts['link.rejected'] > 0


def test_certificate_must_be_issued_for_the_address(
    tmp_path: pathlib.Path,
) -> None:
    host = build.loopback_host()
    authority = trustme.CA()
    server = TlsContexts(
        build.issue_certificate(tmp_path / 'one', authority, '127.9.9.9')
    )
    client = TlsContexts(
        build.issue_certificate(tmp_path / 'two', authority, host)
    )
    anyio.run(run_with_link, server, client, host, assert_unreachable)


def test_changed_files_are_reloaded_for_new_connections(
    tmp_path: pathlib.Path,
) -> None:
    host = build.loopback_host()
    old, new = trustme.CA(), trustme.CA()
    one = TlsContexts(build.issue_certificate(tmp_path / 'one', old, host))
    two = TlsContexts(build.issue_certificate(tmp_path / 'two', old, host))
    build.issue_certificate(tmp_path / 'one', new, host)
    anyio.run(run_with_link, one, two, host, assert_unreachable)
    build.issue_certificate(tmp_path / 'two', new, host)
    anyio.run(run_with_link, one, two, host, assert_reply)


def test_previous_files_stay_in_use_if_changed_ones_are_damaged(
    tmp_path: pathlib.Path,
) -> None:
    host = build.loopback_host()
    authority = trustme.CA()
    files = build.issue_certificate(tmp_path / 'one', authority, host)
    one = TlsContexts(files)
    two = TlsContexts(
        build.issue_certificate(tmp_path / 'two', authority, host)
    )
    pathlib.Path(files.certificate).write_text('damaged', encoding='utf-8')
    anyio.run(run_with_link, one, two, host, assert_reply)
    with pytest.raises(TlsError):
        TlsContexts(files)
