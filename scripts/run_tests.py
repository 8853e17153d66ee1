"""Runs the tests and scenarios, and counts them in one last line.

A failure that KNOWN-RED.txt names is printed and passed over; every other
failure makes the run fail. An entry of that file that passes is named too.
"""

from __future__ import annotations

import pathlib
import sys
from typing import Any

import pytest
from behave.configuration import Configuration
from behave.runner import Runner

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_FIELD = 'test: '


class Tally:
    """Collects the outcome of every test, as a plugin of pytest.

    Attributes:
        passed: Names of tests that passed.
        failed: Names of tests that failed.
    """

    def __init__(self) -> None:
        """Create the tally before the first test."""
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take note of one phase of one test."""
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == 'call' and report.passed:
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Take note of a module that cannot be read."""
        if report.failed:
            self.failed.add(report.nodeid)

    def take_scenarios(self, features: list[Any]) -> None:
        """Take note of every scenario that was run."""
        for feature in features:
            for scenario in feature.walk_scenarios():
                name = f'{feature.filename}::{scenario.name}'
                if scenario.status.name == 'passed':
                    self.passed.add(name)
                else:
                    self.failed.add(name)


def main() -> int:
    """Run everything; return the exit status."""
    sys.path.insert(0, str(ROOT))
    tally = Tally()
    pytest.main([str(ROOT / 'tests')], plugins=[tally])
    runner = Runner(Configuration(command_args=['--format=progress3']))
    has_broken = runner.run() and not runner.features
    tally.take_scenarios(runner.features)
    return report(tally, is_broken=has_broken)


def report(tally: Tally, *, is_broken: bool) -> int:
    """Print what came of it; return the exit status."""
    known = known_red()
    for name in sorted(tally.failed & known):
        print(f'known red: {name}')
    for name in sorted(tally.passed & known):
        print(f'known red, but passed: {name}')
    unknown = tally.failed - known
    for name in sorted(unknown):
        print(f'FAILED: {name}')
    print(f'{len(tally.passed)} passed, {len(tally.failed)} failed')
    is_empty = not tally.passed
    return 1 if unknown or is_empty or is_broken else 0


def known_red() -> set[str]:
    """Return the names of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    }


if __name__ == '__main__':
    sys.exit(main())
