"""Memory of programs, histories and documents, by their number."""

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
_HISTORIES = (_BYTES_PER_MB, 2 * _BYTES_PER_MB, 4 * _BYTES_PER_MB)
_PROGRAMS = (500, 1_000, 2_000, 4_000)
_TURNS = (200, 400, 800, 1_600)
_WORKSPACES = (50, 100, 200, 400)
_SNAPSHOT_MB = (4, 8, 16, 32)
_HISTORY_TURNS = 8
_MESSAGES_A_TURN = 2
_SMALL = 100
_ZONES = 23
_OK = 200
_AMPLE = 1_000_000_000
_encode = msgspec.msgpack.Encoder().encode


def measure_state() -> list[LinearFit]:
    """Return how memory grows with programs, turns, history and documents."""
    return [
        fit_line(
            'memory of a program without turns',
            'bytes',
            _points(_PROGRAMS, _with_programs),
        ),
        fit_line(
            'memory of a turn of 2 x 100 bytes',
            'bytes',
            _points(_TURNS, _with_turns),
        ),
        fit_line(
            'memory of a byte of history',
            'bytes',
            _points(
                _HISTORIES,
                _with_history,
            ),
        ),
        fit_line(
            'memory of an endpoint in the document',
            'bytes',
            _points(_PROGRAMS, _with_endpoints),
        ),
        fit_line(
            'memory of a workspace in the document',
            'bytes',
            _points(_WORKSPACES, _with_workspaces),
        ),
        fit_line(
            'time of a snapshot by bytes of history', 's', _snapshot_times()
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
                status=_OK,
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
            granted=Budget(_AMPLE, _AMPLE),
            created_ms=0,
            deadline_ms=_AMPLE,
            idle_ms=_AMPLE,
            turns=_AMPLE,
            history_bytes=_AMPLE,
        )
    )


def _points(
    sizes: tuple[int, ...], make: Callable[[int], object]
) -> dict[int, float]:
    return {size: _memory_of(make, size) for size in sizes}


def _memory_of(make: Callable[[int], object], size: int) -> float:
    tracemalloc.start()
    try:
        made = make(size)
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return 0 if made is None else float(used)


def _with_programs(count: int) -> ProgramStateMachine:
    machine = ProgramStateMachine()
    for number in range(count):
        machine.apply(
            _encode(create_program_command(f'p.entry-1.{number:024d}'))
        )
    return machine


def _with_turns(count: int) -> ProgramStateMachine:
    machine = _with_programs(1)
    program = next(iter(machine.state.by_id))
    for number in range(1, count + 1):
        apply_turn(machine, program, number, _SMALL)
    return machine


def _with_history(size: int) -> ProgramStateMachine:
    machine = _with_programs(1)
    program = next(iter(machine.state.by_id))
    part = size // (_HISTORY_TURNS * _MESSAGES_A_TURN)
    for number in range(1, _HISTORY_TURNS + 1):
        apply_turn(machine, program, number, part)
    return machine


def _snapshot_times() -> dict[int, float]:
    times = {}
    for megabytes in _SNAPSHOT_MB:
        machine = _with_history(megabytes * _BYTES_PER_MB)
        started = time.process_time()
        machine.snapshot()
        times[megabytes * _BYTES_PER_MB] = time.process_time() - started
    return times


def _with_endpoints(count: int) -> Registry:
    endpoints = [
        {
            'id': f'engine-{number}',
            'address': f'http://10.0.0.1:{number + 1}',
            'availability_zone': f'zone-{number % _ZONES}',
        }
        for number in range(count)
    ]
    return _registry(endpoints, 1)


def _with_workspaces(count: int) -> Registry:
    endpoint = {
        'id': 'engine-1',
        'address': 'http://10.0.0.1:1',
        'availability_zone': 'zone-1',
    }
    return _registry([endpoint], count)


def _registry(endpoints: list[dict[str, str]], workspaces: int) -> Registry:
    tree = {
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
    return Registry(Document.model_validate(tree))
