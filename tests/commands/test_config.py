"""The command that checks a config or a document."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
import anyio.to_thread
import pytest
from click.testing import CliRunner

from acaciaramp.cmd import config as config_module
from acaciaramp.cmd.main import main
from acaciaramp.platform.operator_client import ConfigReadError, read_config
from tests import builders as build
from tests.forwarding.endpoint import ReceivedRequest, ScriptedEndpoint

if TYPE_CHECKING:
    import pathlib

ROUTE = {
    'name': 'r',
    'host': 'example.test',
    'pathPrefix': '/a/',
    'routeKind': 'streaming',
    'timeoutMs': 3_000,
    'service': 'lm',
}


def config(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Return a config as the platform writes it."""
    return {
        'version': version,
        'routes': [ROUTE | changes],
        'services': [{'name': 'lm'}],
    }


def write(folder: pathlib.Path, name: str, tree: Any) -> str:
    path = folder / name
    text = tree if isinstance(tree, str) else json.dumps(tree)
    path.write_text(text, encoding='utf-8')
    return str(path)


def check(*arguments: str) -> tuple[int, list[str]]:
    """Return the exit code and the lines on standard output."""
    result = CliRunner().invoke(main, ['config', 'check', *arguments])
    return result.exit_code, result.stdout.splitlines()


def test_config_without_findings(tmp_path: pathlib.Path) -> None:
    path = write(tmp_path, 'a.json', config())
    assert check(path) == (0, [])


def test_warnings_alone_exit_with_one(tmp_path: pathlib.Path) -> None:
    path = write(tmp_path, 'a.json', config(maxAttempts=2))
    code, lines = check(path)
    assert code == 1
    assert lines == [
        f'{path}: route "r" at example.test/a/: allows 2 attempts, but its '
        'requests may run only once'
    ]


@pytest.mark.parametrize(
    ('tree', 'text'),
    [
        (config(service='none'), 'route "r": there is no service "none"'),
        (config(timeoutMs='x'), '$.routes[0].timeoutMs: Expected `float`'),
        ('{"version": 1', 'config: '),
        ({'environment': 'e'}, 'document: '),
    ],
)
def test_errors_exit_with_two(
    tmp_path: pathlib.Path, tree: Any, text: str
) -> None:
    path = write(tmp_path, 'a.json', tree)
    code, lines = check(path)
    assert code == 2
    assert lines[0].startswith(f'{path}: {text}')


def test_errors_and_warnings_are_reported_together(
    tmp_path: pathlib.Path,
) -> None:
    path = write(tmp_path, 'a.json', config(timeoutMs=0, sloMs=5))
    code, lines = check(path)
    assert (code, len(lines)) == (2, 2)
    assert 'timeout is not positive' in lines[0]
    assert 'objective of 5 ms' in lines[1]


def test_missing_file_exits_with_two(tmp_path: pathlib.Path) -> None:
    assert check(str(tmp_path / 'none'))[0] == 2


def test_differences_from_a_file_alone_exit_with_one(
    tmp_path: pathlib.Path,
) -> None:
    old = write(tmp_path, 'old.json', config())
    new = write(tmp_path, 'new.json', config(8, timeoutMs=4_000))
    code, lines = check(new, '--against', old)
    assert code == 1
    assert lines == [
        f'{new}: version: number changes from 7 to 8',
        f'{new}: route "example.test/a/": timeout_ms changes from 3000 to 4000',
    ]


def test_config_and_document_are_not_compared(tmp_path: pathlib.Path) -> None:
    document = write(tmp_path, 'd.jsonc', build.document_tree())
    path = write(tmp_path, 'a.json', config())
    assert check(document) == (0, [])
    assert check(path, '--against', document)[0] == 2


def test_version_in_force_is_read_from_an_instance(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write(tmp_path, 'a.json', config(8))
    monkeypatch.setattr(
        config_module, 'read_config', lambda _: json.dumps(config()).encode()
    )
    operators = ('--operators', '127.0.0.1:1')
    assert check(path, '--against', '7', *operators) == (
        1,
        [f'{path}: version: number changes from 7 to 8'],
    )
    # Another version came into force meanwhile.
    assert check(path, '--against', '6', *operators) == (2, [])


def test_version_needs_an_address(tmp_path: pathlib.Path) -> None:
    path = write(tmp_path, 'a.json', config())
    assert check(path, '--against', '7')[0] == 2
    assert check(path, '--operators', '127.0.0.1:1')[0] == 2


@pytest.mark.parametrize('status', [b'200 OK', b'503 Service Unavailable'])
def test_config_is_read_by_the_operators_call(status: bytes) -> None:
    def script(_: ReceivedRequest) -> list[bytes | None]:
        return [b'HTTP/1.1 %s\r\ncontent-length: 2\r\n\r\n{}' % status]

    async def main_task() -> tuple[bytes, bytes]:
        fake = ScriptedEndpoint(script)
        async with fake.serving() as endpoint:
            body = await anyio.to_thread.run_sync(
                read_config, f'127.0.0.1:{endpoint.port}'
            )
        return fake.received[0].head, body

    if status.startswith(b'503'):
        with pytest.raises(BaseExceptionGroup) as caught:
            anyio.run(main_task)
        assert caught.group_contains(ConfigReadError, match='answered 503')
        return
    head, body = anyio.run(main_task)
    assert head.startswith(b'GET /v1/config/read HTTP/1.1')
    assert body == b'{}'


def test_address_without_a_listener_is_an_error() -> None:
    with pytest.raises(ConfigReadError, match='does not answer'):
        read_config('127.0.0.1:1')
