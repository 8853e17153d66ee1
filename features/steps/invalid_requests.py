"""Steps in which callers send malformed, oversize or slow requests."""

from __future__ import annotations

import contextlib
import functools
import json
from typing import Any

import anyio
import hypothesis
from behave import given, then, when
from features.steps import world
from hypothesis import strategies as st
from tests import builders as build
from tests.deployment import Deployment, Response

_NESTING_DEPTH = 100_000
_MAX_EXAMPLES = 150
_CHAT_PATH = '/v1/chat/completions'
_MESSAGE = {'role': 'user', 'content': 'x'}


def body_with(flaw: str) -> bytes:
    """Return a chat body with the named flaw."""
    valid = json.dumps(world.chat_body('hello')).encode()
    nested = b'[' * _NESTING_DEPTH + b']' * _NESTING_DEPTH
    bodies = {
        'empty': b'',
        'malformed': b'{"model": }',
        'cut in the middle': valid[:-9],
        'not UTF-8': valid.replace(b'hello', b'\xff\xfe'),
        'an array': b'[]',
        'without messages': b'{"model": "conseil-lm"}',
        'with no message': _chat_with(messages=[]),
        'of wrong types': _chat_with(stream='yes'),
        'with a strange role': _chat_with(
            messages=[{**_MESSAGE, 'role': 'me'}]
        ),
        'with bare text': _chat_with(messages=['hello']),
        'nested too deeply': nested,
        'nested in content': valid.replace(b'"hello"', nested),
        'asking two answers': _chat_with(n=2),
        'negative': _chat_with(max_tokens=-1),
    }
    return bodies[flaw]


def _chat_with(**fields: Any) -> bytes:
    return json.dumps(world.chat_body('hello', **fields)).encode()


@given('time-outs of {duration:d} ms for request headers and bodies')
def set_request_timeouts(context: Any, duration: int) -> None:
    """Set the time limits for receiving request headers and bodies."""
    context.deployment_config.settings['limits'] = {
        'header_ms': duration,
        'body_ms': duration,
    }


@when('a caller posts a body that is "{flaw}"')
def post_flaw(context: Any, flaw: str) -> None:
    """Send a flawed request and a valid one on the same connection."""
    deployment = world.deployment(context)
    wire = request_head(len(body_with(flaw))) + body_with(flaw)
    wire += b'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
    raw = world.run(context, functools.partial(exchange, deployment, wire))
    first, _, following = raw.partition(b'HTTP/1.1 200')
    context.following = following
    context.response = parse(first)


@then('the next request on the same connection is served')
def next_request_is_served(context: Any) -> None:
    """Check the response to the second request."""
    assert context.following.endswith(b'alive\n'), context.following


@when('a caller requests the model "{model}"')
def request_model(context: Any, model: str) -> None:
    """Send a chat request for a model."""
    body = {**world.chat_body('hello'), 'model': model}
    world.call(context, 'POST', _CHAT_PATH, body)


@when('a caller sends a message of {count:d} bytes without a program')
def send_long_message(context: Any, count: int) -> None:
    """Send a chat request with a long message."""
    world.call(context, 'POST', _CHAT_PATH, world.chat_body('x' * count))


@when('a caller sends a body of {count:d} bytes in chunked encoding')
def send_chunked(context: Any, count: int) -> None:
    """Send a body without a content length."""
    body = b'%x\r\n%s\r\n0\r\n\r\n' % (count, b'x' * count)
    head = request_head(0).replace(
        b'content-length: 0', b'transfer-encoding: chunked'
    )
    _send_raw(context, head + body)


@when('a caller sends headers of {count:d} bytes')
def send_long_headers(context: Any, count: int) -> None:
    """Send headers of the given size."""
    _send_raw(context, b'GET / HTTP/1.1\r\nx: %s' % (b'x' * count))


@when('a caller sends incomplete headers and keeps the connection open')
def send_half_headers(context: Any) -> None:
    """Send incomplete headers and wait for the response."""
    _send_raw(context, b'POST /v1/chat/completions HTTP/1.1\r\nho')


@when('a caller sends an incomplete body and keeps the connection open')
def send_half_body(context: Any) -> None:
    """Send less than the content length and wait for the response."""
    _send_raw(context, request_head(100) + b'{"model"')


@when('a caller sends an incomplete body and closes the connection')
def send_half_and_close(context: Any) -> None:
    """Send less than the content length and close the connection."""
    extra = world.step_headers(context, 1)
    head = request_head(100, extra) + b'{"model"'
    deployment = world.deployment(context)
    world.run(context, functools.partial(send_and_close, deployment, head))


@then('the raw response has status {status:d}')
def raw_response_has_status(context: Any, status: int) -> None:
    """Check the status and that the verdict is ``not_run``."""
    assert context.response.status == status, context.response
    assert context.response.json['error']['verdict'] == 'not_run'


@when('random bytes are sent as requests')
def send_random_bytes(context: Any) -> None:
    """Send byte strings generated by hypothesis."""
    methods = st.sampled_from([b'GET ', b'POST ', b'\x16\x03\x01', b''])
    wires = st.builds(bytes.__add__, methods, st.binary(max_size=200))
    _send_generated(context, wires)


@when('random bodies are sent as chat requests')
def send_random_bodies(context: Any) -> None:
    """Send chat bodies generated by hypothesis."""
    leaves = st.none() | st.booleans() | st.floats() | st.text(max_size=9)
    trees = st.recursive(
        leaves,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(sorted(world.chat_body(''))), inner
            )
        ),
        max_leaves=9,
    )
    texts = trees.map(lambda tree: json.dumps(tree).encode())
    bodies = texts | st.binary(max_size=60)
    wires = bodies.map(lambda body: request_head(len(body)) + body)
    _send_generated(context, wires)


@then('every request was refused or its connection closed')
def all_refused(context: Any) -> None:
    """Check that no request reached an engine or caused a server error.

    Status 0 stands for a connection that was closed without a response.
    """
    assert context.statuses <= {0, 400, 404, 405, 408, 431}, context.statuses
    engines = world.deployment(context).engines.values()
    assert not any(engine.prompts for engine in engines)


def request_head(length: int, extra: dict[str, str] | None = None) -> bytes:
    """Return the request line and headers of an authenticated request."""
    lines = [
        f'POST {_CHAT_PATH} HTTP/1.1',
        'host: x',
        f'authorization: Bearer {build.KEY}',
        f'content-length: {length}',
    ]
    lines.extend(f'{name}: {text}' for name, text in (extra or {}).items())
    return '\r\n'.join([*lines, '', '']).encode()


async def exchange(deployment: Deployment, wire: bytes) -> bytes:
    """Send bytes and return all bytes received until the end."""
    host, port = deployment.address().removeprefix('http://').split(':')
    parts = []
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(wire)
        with _suppress_closed():
            while True:
                parts.append(await stream.receive())
    return b''.join(parts)


async def send_and_close(deployment: Deployment, wire: bytes) -> None:
    """Send bytes and close the connection."""
    host, port = deployment.address().removeprefix('http://').split(':')
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(wire)


async def exchange_half_closed(deployment: Deployment, wire: bytes) -> bytes:
    """Send bytes, close the sending side and return all bytes received."""
    host, port = deployment.address().removeprefix('http://').split(':')
    parts = []
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with _suppress_closed():
            await stream.send(wire)
            await stream.send_eof()
            while True:
                parts.append(await stream.receive())
    return b''.join(parts)


def parse(raw: bytes) -> Response:
    """Return the parsed response; its status is 0 if it is empty."""
    head, _, body = raw.partition(b'\r\n\r\n')
    fields = head.split(maxsplit=2)
    status = int(fields[1]) if len(fields) > 1 else 0
    return Response(status, {}, body)


def _suppress_closed() -> Any:
    return contextlib.suppress(
        anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
    )


def _send_raw(context: Any, wire: bytes) -> None:
    deployment = world.deployment(context)
    send_bytes = functools.partial(exchange, deployment, wire)
    context.response = parse(world.run(context, send_bytes))


def _send_generated(context: Any, wires: st.SearchStrategy[bytes]) -> None:
    deployment = world.deployment(context)
    context.statuses = set()

    @hypothesis.settings(
        max_examples=_MAX_EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
    )
    @hypothesis.given(wires)
    def send(wire: bytes) -> None:
        send_bytes = functools.partial(exchange_half_closed, deployment, wire)
        context.statuses.add(parse(world.run(context, send_bytes)).status)

    send()
