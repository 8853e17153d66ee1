"""Fixtures of the tests of memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.memory.processes import Fleet, running_stand_in
from tests.memory.watch import CONFIG

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run what an entry needs, with ``CONFIG`` in force."""
    with running_stand_in() as address:
        folder = tmp_path_factory.mktemp('fleet')
        with Fleet(folder, address).running(CONFIG) as running:
            yield running
