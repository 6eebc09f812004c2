"""Show that each check of the soak fails on a run that breaks its rule."""

import unittest
from dataclasses import replace

from tests.soak.checks import CHECKS, GONE, Account, Outcome, find_faults
from tests.standins.crashing_servers import ServerEvent


def make_outcome(number, kind='look', status=200, poisonous=False, at=20.0):
    return Outcome(
        f'a{number}',
        kind,
        'poison' if poisonous else f'content-{number}',
        poisonous,
        at,
        at + 0.1,
        status,
        f'found for a{number}'.encode(),
    )


def make_runs(*numbers, at=20.0):
    return tuple(ServerEvent(at, 'i-1', f'a{number}') for number in numbers)


SOUND = Account(
    tuple(make_outcome(number) for number in range(9)),
    make_runs(*range(9)),
    (),
    last_trouble=0,
    recovery_seconds=5,
)
POISON = tuple(
    make_outcome(one, status=502, poisonous=True) for one in range(9)
)
BROKEN = {
    'TWICE': replace(
        SOUND,
        outcomes=(make_outcome(1, 'reserve'),),
        runs=make_runs(1, 1),
    ),
    'REFUSED': replace(
        SOUND,
        outcomes=(*SOUND.outcomes, make_outcome(9, 'reserve', 503)),
        runs=make_runs(9),
    ),
    'MIXED': replace(
        SOUND, outcomes=(replace(make_outcome(1), body=b'found for a2'),)
    ),
    'BUDGET, attempts': replace(SOUND, runs=make_runs(*list(range(9)) * 3)),
    'BUDGET, crashing requests': replace(
        SOUND,
        outcomes=(*POISON, make_outcome(99)),
        runs=(
            *make_runs(0, 1, 2, at=1.0),
            *(
                run
                for one in range(3, 9)
                for run in make_runs(one, at=10.0 + one)
            ),
        ),
    ),
    'LOST': replace(
        SOUND,
        outcomes=(
            *SOUND.outcomes,
            *(make_outcome(one, status=0) for one in range(10, 15)),
        ),
        runs=make_runs(*range(15)),
    ),
    'RECOVER': replace(
        SOUND, outcomes=tuple(make_outcome(one, status=503) for one in range(5))
    ),
    'memory': replace(SOUND, memory_kb=(90_000, 400_000)),
}


class ChecksTest(unittest.TestCase):
    """Give each check a sound run and a broken one."""

    def test_sound_run_has_no_fault(self):
        self.assertEqual(find_faults(SOUND), [])

    def test_each_check_finds_its_fault_alone(self):
        self.assertEqual(set(BROKEN), set(CHECKS))
        for name, account in BROKEN.items():
            with self.subTest(name=name):
                found = find_faults(account)
                self.assertEqual([one.split(': ')[0] for one in found], [name])

    def test_host_that_ended_by_itself_is_found(self):
        account = replace(SOUND, memory_kb=(GONE,))
        self.assertEqual(len(find_faults(account)), 1)

    def test_arrivals_beside_a_trouble_are_excused(self):
        account = replace(
            BROKEN['BUDGET, crashing requests'], disturbed=((9.0, 18.0),)
        )
        self.assertEqual(find_faults(account), [])
