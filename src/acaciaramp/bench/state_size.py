"""Measures the memory of programs, histories and environment documents."""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.bench.fits import LinearFit, fit_line
from acaciaramp.documents.model import Document
from acaciaramp.documents.registry import Registry, key_hash
from acaciaramp.ids import (
    EndpointId,
    ProgramId,
    ServiceName,
    StepNumber,
    WorkspaceId,
)
from acaciaramp.programs import commands as cmds
from acaciaramp.programs.log import ProgramStateMachine
from acaciaramp.records import Answer, Budget, Program, StepKind, StepRequest

if TYPE_CHECKING:
    from collections.abc import Callable

_BYTES_PER_MB = 1_048_576
_HISTORY_SIZES = (_BYTES_PER_MB, 2 * _BYTES_PER_MB, 4 * _BYTES_PER_MB)
_OBJECT_COUNTS = (500, 1_000, 2_000, 4_000)
_TURN_COUNTS = (200, 400, 800, 1_600)
_WORKSPACE_COUNTS = (50, 100, 200, 400)
_SNAPSHOT_SIZES_MB = (4, 8, 16, 32)
_HISTORY_TURNS = 8
_MESSAGES_PER_TURN = 2
_SMALL_MESSAGE_BYTES = 100
_ZONE_COUNT = 23
_OK_STATUS = 200
_AMPLE_LIMIT = 1_000_000_000
_encode = msgspec.msgpack.Encoder().encode


def measure_state() -> list[LinearFit]:
    """Return the growth of memory with each kind of state.

    Also measures the time of a snapshot by the size of the history.
    """
    return [
        fit_line(
            'memory of a program without turns',
            'bytes',
            _measure_points(_OBJECT_COUNTS, _build_programs),
        ),
        fit_line(
            'memory of a turn of 2 x 100 bytes',
            'bytes',
            _measure_points(_TURN_COUNTS, _build_turns),
        ),
        fit_line(
            'memory of a byte of history',
            'bytes',
            _measure_points(
                _HISTORY_SIZES,
                _build_history,
            ),
        ),
        fit_line(
            'memory of an endpoint in the document',
            'bytes',
            _measure_points(_OBJECT_COUNTS, _build_endpoints),
        ),
        fit_line(
            'memory of a workspace in the document',
            'bytes',
            _measure_points(_WORKSPACE_COUNTS, _build_workspaces),
        ),
        fit_line(
            'time of a snapshot by bytes of history', 's', _measure_snapshots()
        ),
    ]


def apply_turn(
    machine: ProgramStateMachine, program: ProgramId, number: int, size: int
) -> None:
    """Apply the commands of one turn with messages of ``size`` bytes."""
    for command in turn_commands(program, number, size):
        machine.apply(_encode(command))


def turn_commands(
    program: ProgramId, number: int, size: int
) -> list[cmds.Command]:
    """Return the commands of one turn with messages of ``size`` bytes."""
    text = b'x' * size
    step = StepNumber(number)
    return [
        cmds.BeginStep(
            program=program,
            number=step,
            request=StepRequest(
                kind=StepKind.CHAT,
                service=ServiceName('conseil-lm'),
                repeatable=True,
                body=b'[{"role":"user","content":"%s"}]' % text,
            ),
            reserved=Budget(1, 1),
            at_ms=1,
        ),
        cmds.BeginAttempt(
            program=program,
            number=step,
            attempt=0,
            endpoint=EndpointId('engine-1'),
            reason='warm',
            queued_ms=0,
        ),
        cmds.FinishStep(
            program=program,
            number=step,
            answer=Answer(
                status=_OK_STATUS,
                body=b'{"role":"assistant","content":"%s"}' % text,
                finish_reason='stop',
                prompt_tokens=1,
            ),
            at_ms=2,
        ),
    ]


def create_program_command(name: str) -> cmds.CreateProgram:
    """Return the command that creates a program with ample limits."""
    return cmds.CreateProgram(
        Program(
            program=ProgramId(name),
            workspace=WorkspaceId('medina'),
            service=ServiceName('conseil-lm'),
            granted=Budget(_AMPLE_LIMIT, _AMPLE_LIMIT),
            created_ms=0,
            deadline_ms=_AMPLE_LIMIT,
            idle_ms=_AMPLE_LIMIT,
            turns=_AMPLE_LIMIT,
            history_bytes=_AMPLE_LIMIT,
        )
    )


def _measure_points(
    sizes: tuple[int, ...], build: Callable[[int], object]
) -> dict[int, float]:
    return {size: _traced_bytes(build, size) for size in sizes}


def _traced_bytes(build: Callable[[int], object], size: int) -> float:
    tracemalloc.start()
    try:
        built = build(size)
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return 0 if built is None else float(used_bytes)


def _build_programs(count: int) -> ProgramStateMachine:
    machine = ProgramStateMachine()
    for number in range(count):
        machine.apply(
            _encode(create_program_command(f'p.entry-1.{number:024d}'))
        )
    return machine


def _build_turns(count: int) -> ProgramStateMachine:
    machine = _build_programs(1)
    program = next(iter(machine.state.by_id))
    for number in range(1, count + 1):
        apply_turn(machine, program, number, _SMALL_MESSAGE_BYTES)
    return machine


def _build_history(size: int) -> ProgramStateMachine:
    machine = _build_programs(1)
    program = next(iter(machine.state.by_id))
    message_bytes = size // (_HISTORY_TURNS * _MESSAGES_PER_TURN)
    for number in range(1, _HISTORY_TURNS + 1):
        apply_turn(machine, program, number, message_bytes)
    return machine


def _measure_snapshots() -> dict[int, float]:
    times = {}
    for megabytes in _SNAPSHOT_SIZES_MB:
        machine = _build_history(megabytes * _BYTES_PER_MB)
        started = time.process_time()
        machine.snapshot()
        times[megabytes * _BYTES_PER_MB] = time.process_time() - started
    return times


def _build_endpoints(count: int) -> Registry:
    endpoints = [
        {
            'id': f'engine-{number}',
            'address': f'http://10.0.0.1:{number + 1}',
            'availability_zone': f'zone-{number % _ZONE_COUNT}',
        }
        for number in range(count)
    ]
    return _build_registry(endpoints, 1)


def _build_workspaces(count: int) -> Registry:
    endpoint = {
        'id': 'engine-1',
        'address': 'http://10.0.0.1:1',
        'availability_zone': 'zone-1',
    }
    return _build_registry([endpoint], count)


def _build_registry(
    endpoints: list[dict[str, str]], workspaces: int
) -> Registry:
    document = {
        'environment': 'capacity',
        'revision': 1,
        'services': [
            {'name': 'conseil-lm', 'kind': 'engine', 'endpoints': endpoints}
        ],
        'workspaces': [
            {
                'name': f'workspace-{number}',
                'keys': [key_hash(f'{number}-{key}') for key in range(4)],
                'rate': 100,
                'burst': 100,
            }
            for number in range(workspaces)
        ],
    }
    return Registry(Document.model_validate(document))
