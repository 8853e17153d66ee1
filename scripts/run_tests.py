"""Runs one part of the tests, or reports on the results of all parts.

``scripts/test.sh`` runs the parts in parallel: ``unit`` for pytest, and
``INDEX/COUNT`` for a share of the scenarios, ``0/4`` being the first of four.
After them it runs ``memory``, the tests that measure the memory of processes.
``report`` reads the result files of the parts and fails if a scenario ran in
no part.

A failure that is listed in KNOWN-RED.txt is printed but does not fail the
run; any other failure does. A listed test that passes is printed as well.
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
MEMORY = 'memory'
TESTS = ROOT / 'tests'
MEMORY_TESTS = TESTS / 'memory'
REPORT = 'report'
# Environment variable that selects the scenarios; see features/environment.py.
PART_VARIABLE = 'ACACIARAMP_TEST_PART'


class ResultCollector:
    """Collects the results of tests and scenarios; a plugin of pytest.

    Attributes:
        passed: Names of tests that passed.
        failed: Names of tests that failed.
        in_other_parts: Names of scenarios that belong to other parts.
    """

    def __init__(self) -> None:
        """Create an empty collector."""
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.in_other_parts: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the result of one phase of a test."""
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == 'call' and report.passed:
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Record a test module that cannot be imported as failed."""
        if report.failed:
            self.failed.add(report.nodeid)

    def record_scenarios(self, features: list[Any]) -> None:
        """Record the result of every scenario of a behave run."""
        for feature in features:
            for scenario in feature.walk_scenarios():
                name = f'{feature.filename}::{scenario.name.strip()}'
                if scenario.status.name == 'passed':
                    self.passed.add(name)
                elif scenario.skip_reason == PART_VARIABLE:
                    self.in_other_parts.add(name)
                else:
                    self.failed.add(name)

    def save(self, path: pathlib.Path) -> None:
        """Write the results to a JSON file."""
        names = {
            'passed': sorted(self.passed),
            'failed': sorted(self.failed),
            'elsewhere': sorted(self.in_other_parts),
        }
        path.write_text(json.dumps(names), encoding='utf-8')

    def merge(self, path: pathlib.Path) -> None:
        """Add the results of a part from the file that ``save`` wrote."""
        names = json.loads(path.read_text(encoding='utf-8'))
        self.passed.update(names['passed'])
        self.failed.update(names['failed'])
        self.in_other_parts.update(names['elsewhere'])


def main() -> int:
    """Run one part or report on all parts; return the exit status."""
    part, *files = sys.argv[1:]
    paths = [pathlib.Path(name) for name in files]
    if part == REPORT:
        return report_on(paths)
    results = ResultCollector()
    sys.path.insert(0, str(ROOT))
    if part == UNIT:
        pytest.main([str(TESTS), f'--ignore={MEMORY_TESTS}'], plugins=[results])
    elif part == MEMORY:
        pytest.main([str(MEMORY_TESTS)], plugins=[results])
    else:
        os.environ[PART_VARIABLE] = part
        runner = Runner(Configuration(command_args=['--format=progress3']))
        runner.run()
        results.record_scenarios(runner.features)
    results.save(paths[0])
    return 0


def report_on(paths: list[pathlib.Path]) -> int:
    """Merge and print the results of all parts; return the exit status."""
    results = ResultCollector()
    missing = [path for path in paths if not path.exists()]
    for path in paths:
        if path not in missing:
            results.merge(path)
    for path in missing:
        print(f'a part ended without a result file: {path.stem}')
    unassigned = results.in_other_parts - results.passed - results.failed
    for name in sorted(unassigned):
        print(f'scenario ran in no part: {name}')
    return report(results, is_incomplete=bool(missing or unassigned))


def report(results: ResultCollector, *, is_incomplete: bool) -> int:
    """Print the results; return the exit status.

    Args:
        results: The results of all parts.
        is_incomplete: Whether results are missing, which fails the run.
    """
    known = known_red()
    for name in sorted(results.failed & known):
        print(f'known red: {name}')
    for name in sorted(results.passed & known):
        print(f'known red, but passed: {name}')
    unexpected = results.failed - known
    for name in sorted(unexpected):
        print(f'FAILED: {name}')
    print(f'{len(results.passed)} passed, {len(results.failed)} failed')
    is_empty = not results.passed
    return 1 if unexpected or is_empty or is_incomplete else 0


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
