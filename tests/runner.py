"""Run every test, excusing just the faults listed in KNOWN-RED.txt.

Each entry of that file is one line whose first word is the test's id; the
rest of the line tells a reader the command, the seed, what was seen and the
issue. A listed test that passes is reported, so that the entry can go.
"""

import sys
import unittest
from dataclasses import dataclass
from pathlib import Path

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
    """Count the outcomes of one run."""

    passed: int
    failed: int
    skipped: int
    known_red: tuple[str, ...]
    not_failing: tuple[str, ...]


def read_known_red(path: Path) -> frozenset[str]:
    """Return the ids of the tests that may fail."""
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
    """Split the failures into known and new ones."""
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


def run_tests(names: list[str]) -> int:
    """Run the named tests, or all, and return the exit status."""
    settings.load_profile('repeatable')
    # Tests look at what the parts do; their logs would bury the verdicts.
    logger.remove()
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    outcome = unittest.TextTestRunner(verbosity=1, warnings='default').run(
        suite
    )
    tally = tally_outcome(outcome, read_known_red(ROOT / 'KNOWN-RED.txt'))
    _print_tally(tally)
    return 1 if tally.failed or not outcome.testsRun else 0


def _get_test_id(case: object) -> str:
    # A failing subtest carries the id of the test that holds it.
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
