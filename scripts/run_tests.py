"""Runs a part of the tests and scenarios, or counts them in one last line.

``scripts/test.sh`` runs the parts side by side: ``unit`` and as many parts of
the scenarios as it likes, ``0/4`` being the first of four. ``report`` reads
what the parts wrote and fails if any scenario was in no part.

A failure that KNOWN-RED.txt names is printed and passed over; every other
failure makes the run fail. An entry of that file that passes is named too.
"""

from __future__ import annotations

import json
import os
import pathlib
import sys
from typing import Any

import pytest
from behave.configuration import Configuration
from behave.runner import Runner

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_FIELD = 'test: '
UNIT = 'unit'
REPORT = 'report'
# Tells the scenarios' environment which part is run.
PART_VARIABLE = 'ACACIARAMP_TEST_PART'


class Tally:
    """Collects the outcome of every test, as a plugin of pytest.

    Attributes:
        passed: Names of tests that passed.
        failed: Names of tests that failed.
        elsewhere: Names of scenarios that belong to other parts.
    """

    def __init__(self) -> None:
        """Create the tally before the first test."""
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.elsewhere: set[str] = set()

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
                name = f'{feature.filename}::{scenario.name.strip()}'
                if scenario.status.name == 'passed':
                    self.passed.add(name)
                elif scenario.skip_reason == PART_VARIABLE:
                    self.elsewhere.add(name)
                else:
                    self.failed.add(name)

    def save(self, path: pathlib.Path) -> None:
        """Write the outcome to a file."""
        members = {
            'passed': sorted(self.passed),
            'failed': sorted(self.failed),
            'elsewhere': sorted(self.elsewhere),
        }
        path.write_text(json.dumps(members), encoding='utf-8')

    def add(self, path: pathlib.Path) -> None:
        """Take in the outcome of a part from its file."""
        members = json.loads(path.read_text(encoding='utf-8'))
        self.passed.update(members['passed'])
        self.failed.update(members['failed'])
        self.elsewhere.update(members['elsewhere'])


def main() -> int:
    """Run a part or report on all; return the exit status."""
    verb, *files = sys.argv[1:]
    paths = [pathlib.Path(name) for name in files]
    if verb == REPORT:
        return report_on(paths)
    tally = Tally()
    sys.path.insert(0, str(ROOT))
    if verb == UNIT:
        pytest.main([str(ROOT / 'tests')], plugins=[tally])
    else:
        os.environ[PART_VARIABLE] = verb
        runner = Runner(Configuration(command_args=['--format=progress3']))
        runner.run()
        tally.take_scenarios(runner.features)
    tally.save(paths[0])
    return 0


def report_on(paths: list[pathlib.Path]) -> int:
    """Print what came of all parts; return the exit status."""
    tally = Tally()
    missing = [path for path in paths if not path.exists()]
    for path in paths:
        if path not in missing:
            tally.add(path)
    for path in missing:
        print(f'a part has ended without an outcome: {path.stem}')
    lost = tally.elsewhere - tally.passed - tally.failed
    for name in sorted(lost):
        print(f'in no part: {name}')
    return report(tally, is_broken=bool(missing or lost))


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
