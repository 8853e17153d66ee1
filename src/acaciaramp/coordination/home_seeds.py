"""Bootstraps the ledgers of single regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.coordination.homes import HomeLedger, choose_seed
from acaciaramp.coordination.messages import SeedHomeLedger
from acaciaramp.errors import CallError
from acaciaramp.settings.node import RoleName
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from acaciaramp.coordination.directory import Directory

logger = get_logger('coordination')


async def seed_home_ledgers(
    homes: Sequence[HomeLedger],
    directory: Directory,
    tolerated_losses: int,
    propose: Callable[[SeedHomeLedger], Awaitable[object]],
    *,
    is_settled: bool,
) -> None:
    """Choose how ledgers without a seed are bootstrapped, where they can be.

    Nothing is chosen while a control instance of an earlier build reports, since
    it could not apply the command.

    Args:
        homes: The ledgers of all home regions.
        directory: Instances that have reported.
        tolerated_losses: Number of disks that the deployment may lose at once.
        propose: Commits a command; raises ``CallError``.
        is_settled: Whether all live instances have reported.
    """
    if not directory.lowest_commands(RoleName.CONTROL):
        return
    for home in homes:
        if home.seed is not None:
            continue
        seed = choose_seed(
            home, directory, tolerated_losses, is_settled=is_settled
        )
        if seed is None:
            continue
        logger.info(
            'Selecting the instance that bootstraps the ledger of a region.',
            region=home.region,
            instance=seed.member.instance,
            tolerated_losses=seed.tolerated_losses,
        )
        try:
            await propose(SeedHomeLedger(home.region, seed))
        except CallError as exc:
            logger.warning(
                'Could not commit the choice of the instance that bootstraps '
                'the ledger of a region; retrying.',
                reason=exc,
            )
