"""Identifier types shared by all packages."""

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


def new_program_id(home: InstanceId) -> ProgramId:
    """Return a fresh program id that names its home instance.

    Args:
        home: The instance that owns the program's state.
    """
    return program_id(home, secrets.token_hex(_RANDOM_BYTES))


def program_id(home: InstanceId, suffix: str) -> ProgramId:
    """Return the program id of ``suffix`` at ``home``."""
    return ProgramId(_SEPARATOR.join(('p', home, suffix)))


def home_of(program: ProgramId) -> InstanceId | None:
    """Return the instance named by a program id, or None if malformed."""
    parts = program.split(_SEPARATOR)
    if len(parts) == 3 and parts[0] == 'p':
        return InstanceId(parts[1])
    return None
