"""Steps in which callers send what they should not."""

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
from tests.deployment import Deployment, Reply

_DEPTH = 100_000
_EXAMPLES = 150
_CHAT = '/v1/chat/completions'
_MESSAGE = {'role': 'user', 'content': 'x'}


def body_with(flaw: str) -> bytes:
    """Return a chat body with a flaw."""
    whole = json.dumps(world.chat_body('hello')).encode()
    nested = b'[' * _DEPTH + b']' * _DEPTH
    bodies = {
        'empty': b'',
        'malformed': b'{"model": }',
        'cut in the middle': whole[:-9],
        'not UTF-8': whole.replace(b'hello', b'\xff\xfe'),
        'an array': b'[]',
        'without messages': b'{"model": "conseil-lm"}',
        'with no message': _chat(messages=[]),
        'of wrong types': _chat(stream='yes'),
        'with a strange role': _chat(messages=[{**_MESSAGE, 'role': 'me'}]),
        'with bare text': _chat(messages=['hello']),
        'nested too deeply': nested,
        'nested in content': whole.replace(b'"hello"', nested),
        'asking two answers': _chat(n=2),
        'negative': _chat(max_tokens=-1),
    }
    return bodies[flaw]


def _chat(**more: Any) -> bytes:
    return json.dumps(world.chat_body('hello', **more)).encode()


@given('callers have {duration:d} ms for headers and for bodies')
def plan_times(context: Any, duration: int) -> None:
    """Give callers little time."""
    context.plan.settings['limits'] = {
        'header_ms': duration,
        'body_ms': duration,
    }


@when('a caller posts a body that is "{flaw}"')
def post_flaw(context: Any, flaw: str) -> None:
    """Send a flawed body and a good one on the same connection."""
    deployment = world.deployment(context)
    wire = request_head(len(body_with(flaw))) + body_with(flaw)
    wire += b'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
    answer = world.run(context, functools.partial(exchange, deployment, wire))
    first, _, rest = answer.partition(b'HTTP/1.1 200')
    context.rest = rest
    context.reply = parse(first)


@then('the next request on the same connection is served')
def next_is_served(context: Any) -> None:
    """Look for the second answer."""
    assert context.rest.endswith(b'alive\n'), context.rest


@when('a caller asks the model "{model}"')
def ask_model(context: Any, model: str) -> None:
    """Name a model."""
    body = {**world.chat_body('hello'), 'model': model}
    world.call(context, 'POST', _CHAT, body)


@when('a caller says {count:d} bytes without a program')
def say_much(context: Any, count: int) -> None:
    """Send a long text."""
    world.call(context, 'POST', _CHAT, world.chat_body('x' * count))


@when('a caller says {count:d} bytes in chunks')
def say_chunks(context: Any, count: int) -> None:
    """Send a long text whose length is not announced."""
    body = b'%x\r\n%s\r\n0\r\n\r\n' % (count, b'x' * count)
    head = request_head(0).replace(
        b'content-length: 0', b'transfer-encoding: chunked'
    )
    _exchange(context, head + body)


@when('a caller sends headers of {count:d} bytes')
def send_long_headers(context: Any, count: int) -> None:
    """Send a long header."""
    _exchange(context, b'GET / HTTP/1.1\r\nx: %s' % (b'x' * count))


@when('a caller sends half of its headers and no more')
def send_half_headers(context: Any) -> None:
    """Begin a request and wait."""
    _exchange(context, b'POST /v1/chat/completions HTTP/1.1\r\nho')


@when('a caller sends half of its body and no more')
def send_half_body(context: Any) -> None:
    """Announce a body, send half of it and wait."""
    _exchange(context, request_head(100) + b'{"model"')


@when('a caller sends half of its body and closes')
def send_half_and_close(context: Any) -> None:
    """Announce a body, send half of it and close."""
    names = world.step_headers(context, 1)
    head = request_head(100, names) + b'{"model"'
    deployment = world.deployment(context)
    world.run(context, functools.partial(send_and_close, deployment, head))


@then('the raw answer has the status {status:d}')
def raw_has_status(context: Any, status: int) -> None:
    """Compare the status."""
    assert context.reply.status == status, context.reply
    assert context.reply.json['error']['verdict'] == 'not_run'


@when('hostile bytes are sent many times')
def send_hostile_bytes(context: Any) -> None:
    """Send bytes that hypothesis makes up."""
    methods = st.sampled_from([b'GET ', b'POST ', b'\x16\x03\x01', b''])
    wires = st.builds(bytes.__add__, methods, st.binary(max_size=200))
    _send_many(context, wires)


@when('hostile bodies are sent many times')
def send_hostile_bodies(context: Any) -> None:
    """Send bodies that hypothesis makes up."""
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
    _send_many(context, wires)


@then('every one was refused or dropped')
def all_refused(context: Any) -> None:
    """Check that nothing ran and nothing broke."""
    assert context.statuses <= {0, 400, 404, 405, 408, 431}, context.statuses
    engines = world.deployment(context).engines.values()
    assert not any(engine.prompts for engine in engines)


def request_head(length: int, names: dict[str, str] | None = None) -> bytes:
    """Return the head of a chat request with the key."""
    lines = [
        f'POST {_CHAT} HTTP/1.1',
        'host: x',
        f'authorization: Bearer {build.KEY}',
        f'content-length: {length}',
    ]
    lines.extend(f'{name}: {text}' for name, text in (names or {}).items())
    return '\r\n'.join([*lines, '', '']).encode()


async def exchange(deployment: Deployment, wire: bytes) -> bytes:
    """Send bytes and return all that comes back until the end."""
    host, port = deployment.address().removeprefix('http://').split(':')
    parts = []
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(wire)
        with _until_closed():
            while True:
                parts.append(await stream.receive())
    return b''.join(parts)


async def send_and_close(deployment: Deployment, wire: bytes) -> None:
    """Send bytes and close."""
    host, port = deployment.address().removeprefix('http://').split(':')
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(wire)


async def exchange_closed(deployment: Deployment, wire: bytes) -> bytes:
    """Send bytes, end the sending side, and return all that comes back."""
    host, port = deployment.address().removeprefix('http://').split(':')
    parts = []
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with _until_closed():
            await stream.send(wire)
            await stream.send_eof()
            while True:
                parts.append(await stream.receive())
    return b''.join(parts)


def parse(answer: bytes) -> Reply:
    """Return an answer's parts; status 0 if nothing came."""
    head, _, body = answer.partition(b'\r\n\r\n')
    words = head.split(maxsplit=2)
    status = int(words[1]) if len(words) > 1 else 0
    return Reply(status, {}, body)


def _until_closed() -> Any:
    return contextlib.suppress(
        anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
    )


def _exchange(context: Any, wire: bytes) -> None:
    deployment = world.deployment(context)
    work = functools.partial(exchange, deployment, wire)
    context.reply = parse(world.run(context, work))


def _send_many(context: Any, wires: st.SearchStrategy[bytes]) -> None:
    deployment = world.deployment(context)
    context.statuses = set()

    @hypothesis.settings(
        max_examples=_EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(wires)
    def send(wire: bytes) -> None:
        work = functools.partial(exchange_closed, deployment, wire)
        context.statuses.add(parse(world.run(context, work)).status)

    send()
