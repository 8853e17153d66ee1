"""Ledgers of single regions, as an entry instance uses them.

Turns that are bound to home regions are stored in the ledger of one of these
regions. Budgets and origins of streams stay in the ledger of all regions: a
program may have bound and unbound turns, and its budget must be exact over both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.conversations.client import LedgerClient

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.homes import HomeLedger
    from acaciaramp.ids import InstanceId
    from acaciaramp.peering.links import Links


class HomeLedgers:
    """Clients of the ledgers of single regions."""

    def __init__(
        self,
        links: Links,
        ledgers: Callable[[], Sequence[HomeLedger]],
        clock: Clock,
        region: str,
        all_regions: Collection[str],
    ) -> None:
        """Create it without clients.

        Args:
            links: Links to other instances.
            ledgers: Returns the ledgers that the newest view names.
            clock: Clock for timeouts.
            region: Region of this instance.
            all_regions: All regions of the deployment.
        """
        self._links = links
        self._ledgers = ledgers
        self._clock = clock
        self._region = region
        self._all_regions = frozenset(all_regions)
        self._clients: dict[str, LedgerClient] = {}

    def binds(self, regions: frozenset[str] | None) -> bool:
        """Return whether turns of a request need the ledger of a region."""
        return regions is not None and not self._all_regions <= regions

    def may_cache(self, regions: frozenset[str] | None) -> bool:
        """Return whether turns of a request may be kept on this instance."""
        return regions is None or self._region in regions

    def usable(self, regions: frozenset[str]) -> list[str]:
        """Return the allowed regions that have a ledger, in the same order.

        All entry instances use the first one, so that they find each other's
        turns.
        """
        return [
            home.region
            for home in self._ledgers()
            if home.seed is not None and home.region in regions
        ]

    def client(self, region: str) -> LedgerClient:
        """Return the client of the ledger of a region."""
        client = self._clients.get(region)
        if client is None:
            client = LedgerClient(
                self._links,
                lambda: self._instances(region),
                self._clock,
                region,
            )
            self._clients[region] = client
        return client

    def _instances(self, region: str) -> tuple[InstanceId, ...]:
        """Return the instances of which one leads the ledger of a region."""
        for home in self._ledgers():
            if home.region == region:
                # The view may be out of date; others name the leader.
                return tuple(dict.fromkeys((*home.voters, *home.storages)))
        return ()
