"""Run the tests; only those listed in KNOWN-RED.txt are allowed to fail.

Each entry of that file is one line. Its first word is the id of a test; the
rest gives the command, the seed, what was observed and the issue. Listed tests
that did not fail are reported so that their entries can be removed.

Tests of decisions and those in virtual time take the processor but no notice of
the real time, so they run in a process beside the others.
"""

import multiprocessing
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from io import StringIO
from pathlib import Path
from typing import TextIO

from hypothesis import settings
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent

settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
)


@dataclass(frozen=True)
class Tally:
    """Hold the counts of one run and the listed tests by outcome."""

    passed: int
    failed: int
    skipped: int
    known_red: tuple[str, ...]
    not_failing: tuple[str, ...]


def read_known_red(path: Path) -> frozenset[str]:
    """Return the ids of the tests that are allowed to fail."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.split()[0]
        for line in lines
        if line.strip() and not line.startswith('#')
    )


def tally_outcome(
    outcome: unittest.TestResult, known_red: frozenset[str]
) -> Tally:
    """Count the outcomes; tests in ``known_red`` do not count as failed."""
    failing = {
        _get_test_id(case) for case, _ in (*outcome.failures, *outcome.errors)
    } | {_get_test_id(case) for case in outcome.unexpectedSuccesses}
    excused = failing & known_red
    skipped = len(outcome.skipped)
    return Tally(
        passed=max(0, outcome.testsRun - len(failing) - skipped),
        failed=len(failing - known_red),
        skipped=skipped,
        known_red=tuple(sorted(excused)),
        not_failing=tuple(sorted(known_red - failing)),
    )


def add_tallies(first: Tally, second: Tally) -> Tally:
    """Return the tally of two parts of one run."""
    return Tally(
        passed=first.passed + second.passed,
        failed=first.failed + second.failed,
        skipped=first.skipped + second.skipped,
        known_red=tuple(sorted((*first.known_red, *second.known_red))),
        # A part reports all listed tests that are not in it.
        not_failing=tuple(
            sorted(set(first.not_failing).intersection(second.not_failing))
        ),
    )


def run_tests(names: list[str]) -> int:
    """Run the named tests, or all tests; return the exit status."""
    _prepare()
    if names:
        suite = unittest.TestLoader().loadTestsFromNames(names)
        tally = _run_suite(suite, sys.stderr)
    else:
        tally = _run_all()
    _print_tally(tally)
    # Without tests, names were wrong.
    return 1 if tally.failed or not _count_run(tally) else 0


def run_virtual(modules: list[str]) -> tuple[Tally, str]:
    """Run the tests of modules; return their tally and the report."""
    _prepare()
    report = StringIO()
    suite = unittest.TestLoader().loadTestsFromNames(modules)
    return _run_suite(suite, report), report.getvalue()


def _run_all() -> Tally:
    found = unittest.TestLoader().discover(
        str(ROOT / 'tests'), top_level_dir=str(ROOT)
    )
    cases = tuple(_iterate_cases(found))
    modules = sorted(
        {type(case).__module__ for case in cases if _is_virtual(case)}
    )
    others = unittest.TestSuite(case for case in cases if not _is_virtual(case))
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(1, context) as executor:
        virtual = executor.submit(run_virtual, modules)
        tally = _run_suite(others, sys.stderr)
        virtual_tally, report = virtual.result()
    print(report, file=sys.stderr)
    return add_tallies(tally, virtual_tally)


def _prepare() -> None:
    # Tests that have settings of their own take the rest from the profile that
    # is loaded when they are imported.
    settings.load_profile('repeatable')
    # Log lines of the tested code would hide the test results.
    logger.remove()


def _run_suite(suite: unittest.TestSuite, stream: TextIO) -> Tally:
    outcome = unittest.TextTestRunner(
        stream, verbosity=1, warnings='default'
    ).run(suite)
    return tally_outcome(outcome, read_known_red(ROOT / 'KNOWN-RED.txt'))


def _iterate_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from _iterate_cases(part)
        else:
            yield part


def _is_virtual(case: unittest.TestCase) -> bool:
    """Return whether the module of a test is independent of the real time."""
    name = type(case).__module__
    return name.startswith('tests.decisions.') or 'VirtualLoop' in vars(
        sys.modules[name]
    )


def _count_run(tally: Tally) -> int:
    return tally.passed + tally.failed + tally.skipped + len(tally.known_red)


def _get_test_id(case: object) -> str:
    # A subtest is identified by the test that contains it.
    test = getattr(case, 'test_case', case)
    return test.id() if isinstance(test, unittest.TestCase) else str(case)


def _print_tally(tally: Tally) -> None:
    for name in tally.known_red:
        print(f'known red, still failing: {name}')
    for name in tally.not_failing:
        print(f'listed in KNOWN-RED.txt but not failing here: {name}')
    print(
        f'{tally.passed} passed, {tally.failed} failed, '
        f'{tally.skipped + len(tally.known_red)} skipped',
    )


if __name__ == '__main__':
    sys.exit(run_tests(sys.argv[1:]))
