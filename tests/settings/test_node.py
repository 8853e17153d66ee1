"""Validation of the settings of a role, and their reload on change."""

from __future__ import annotations

import json
import os
import pathlib
from typing import Any

import pytest
from click.testing import CliRunner

from acaciaramp.cmd.main import main
from acaciaramp.settings import node as node_module
from acaciaramp.settings.node import (
    NodeSettings,
    NodeSettingsError,
    RoleName,
    SettingsFile,
    load_node_settings,
)

ENTRY: dict[str, Any] = {
    'instance': 'entry-1',
    'role': 'entry',
    'host': '127.0.0.1',
    'availability_zone': 'north',
    'region': 'east',
    'regions': {'north': 'east', 'far': 'west'},
    'inner_port': 7_000,
    'seeds': ['127.0.0.2:8000'],
    'instance_list': {'address': '127.0.0.9:8000'},
    'callers': '127.0.0.1:8001',
    'readiness': '127.0.0.1:8002',
}


def write_settings(folder: pathlib.Path, **changes: Any) -> str:
    path = folder / 'node.jsonc'
    path.write_text(
        f'// a comment\n{json.dumps(ENTRY | changes)}\n', encoding='utf-8'
    )
    return str(path)


def test_comments_and_unknown_keys_are_ignored(
    tmp_path: pathlib.Path,
) -> None:
    cfg = load_node_settings(write_settings(tmp_path, later='more'))
    assert cfg.role is RoleName.ENTRY
    assert cfg.tolerated_faults == 1


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, False),
        ({'contracts': None}, False),
        ({'contracts': ['places']}, False),
        ({'contracts': ['later', 'pressure']}, True),
    ],
)
def test_admission_control_takes_effect_only_where_it_is_asked_for(
    tmp_path: pathlib.Path, changes: dict[str, Any], *, expected: bool
) -> None:
    """Guards against a change of deployments that do not name it."""
    cfg = load_node_settings(write_settings(tmp_path, **changes))
    assert cfg.has_admission_control is expected


def test_loads_are_exchanged_only_if_the_settings_say_so(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against its processor time on fleets that did not ask for it."""
    assert not load_node_settings(write_settings(tmp_path)).exchange_loads
    path = write_settings(tmp_path, exchange_loads=True)
    assert load_node_settings(path).exchange_loads


def test_memory_and_descriptors_are_optional(tmp_path: pathlib.Path) -> None:
    cfg = load_node_settings(write_settings(tmp_path))
    assert (cfg.memory_mb, cfg.max_descriptors) == (None, None)
    path = write_settings(tmp_path, memory_mb=136, max_descriptors=1_535)
    cfg = load_node_settings(path)
    assert (cfg.memory_mb, cfg.max_descriptors) == (136, 1_535)
    with pytest.raises(NodeSettingsError, match='memory_mb'):
        load_node_settings(write_settings(tmp_path, memory_mb=0))


def test_trailing_commas_are_allowed(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'node.jsonc'
    text = json.dumps(ENTRY).removesuffix('}')
    path.write_text(f'{text},\n  }}', encoding='utf-8')
    assert load_node_settings(str(path)).instance == 'entry-1'


@pytest.mark.parametrize(
    ('changes', 'mistake'),
    [
        ({'inner_port': 'x'}, 'inner_port'),
        ({'role': 'cook'}, 'role'),
        ({'role': 'storage'}, 'needs "data_folder"'),
        ({'callers': None}, 'needs "callers"'),
    ],
)
def test_invalid_settings_are_rejected_with_the_setting_named(
    tmp_path: pathlib.Path, changes: dict[str, Any], mistake: str
) -> None:
    with pytest.raises(NodeSettingsError, match=mistake):
        load_node_settings(write_settings(tmp_path, **changes))


def test_a_changed_file_is_reloaded(tmp_path: pathlib.Path) -> None:
    path = write_settings(tmp_path)
    settings_file = SettingsFile(path)
    write_settings(tmp_path, seeds=['127.0.0.3:8000'])
    os.utime(path, ns=(1, 1))
    assert settings_file.current().seeds == ('127.0.0.3:8000',)


def test_an_invalid_changed_file_keeps_the_previous_settings(
    tmp_path: pathlib.Path,
) -> None:
    path = write_settings(tmp_path)
    settings_file = SettingsFile(path)
    pathlib.Path(path).write_text('{', encoding='utf-8')
    os.utime(path, ns=(1, 1))
    assert settings_file.current().seeds == ('127.0.0.2:8000',)


def test_check_role_command_validates_a_file(tmp_path: pathlib.Path) -> None:
    runner = CliRunner()
    good = runner.invoke(
        main, ['settings', 'check-role', write_settings(tmp_path)]
    )
    assert (good.exit_code, 'role entry' in good.output) == (0, True)
    path = write_settings(tmp_path, role='cook')
    bad = runner.invoke(main, ['settings', 'check-role', path])
    assert (bad.exit_code, 'role' in bad.output) == (1, True)


def test_commas_and_slashes_in_strings_are_kept(
    tmp_path: pathlib.Path,
) -> None:
    name = r'a,} b,] "c" // d'
    cfg = load_node_settings(write_settings(tmp_path, instance=name))
    assert cfg.instance == name


def test_a_change_during_the_first_load_is_noticed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write_settings(tmp_path)
    load = node_module.load_node_settings

    def load_and_change(name: str) -> NodeSettings:
        cfg = load(name)
        write_settings(tmp_path, seeds=['127.0.0.3:8000'])
        os.utime(path, ns=(1, 1))
        return cfg

    with monkeypatch.context() as patches:
        patches.setattr(node_module, 'load_node_settings', load_and_change)
        settings_file = SettingsFile(path)
    assert settings_file.current().seeds == ('127.0.0.3:8000',)
