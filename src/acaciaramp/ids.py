"""Identifier types shared by all packages, and the format of program ids."""

from __future__ import annotations

import secrets
from typing import NewType

InstanceId = NewType('InstanceId', str)
AvailabilityZone = NewType('AvailabilityZone', str)
WorkspaceId = NewType('WorkspaceId', str)
ServiceName = NewType('ServiceName', str)
EndpointId = NewType('EndpointId', str)
ProgramId = NewType('ProgramId', str)
StepNumber = NewType('StepNumber', int)

_RANDOM_BYTES = 12
_SEPARATOR = '.'


def new_program_id(cell: InstanceId) -> ProgramId:
    """Return a random program id that contains the program's cell.

    Args:
        cell: The cell, named after the instance that bootstraps it.
    """
    return make_program_id(cell, secrets.token_hex(_RANDOM_BYTES))


def make_program_id(cell: InstanceId, suffix: str) -> ProgramId:
    """Return the program id ``p.<cell>.<suffix>``."""
    return ProgramId(_SEPARATOR.join(('p', cell, suffix)))


def cell_of(program: ProgramId) -> InstanceId | None:
    """Return the cell in a program id, or None if the id is malformed."""
    parts = program.split(_SEPARATOR)
    if len(parts) == 3 and parts[0] == 'p':
        return InstanceId(parts[1])
    return None
