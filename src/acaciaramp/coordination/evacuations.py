"""Admission of operators' orders on the evacuation of availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.settings.node import RoleName
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.coordination.directory import Directory
    from acaciaramp.coordination.messages import Evacuate

logger = get_logger('coordination')


def check_evacuation(order: Evacuate, directory: Directory) -> None:
    """Check that all control instances that report can apply an order.

    Raises:
        CallError: One of an earlier build reports; it would end when it applies
            the command.
    """
    if directory.lowest_commands(RoleName.CONTROL) == 0:
        raise CallError(
            ErrorCode.NOT_LEADER,
            'a control instance of an earlier build cannot apply the order',
        )
    logger.info(
        'Committing an order on the evacuation of a zone.',
        zone=order.zone,
        has_begun=order.has_begun,
    )
