"""Test that each check of the soak reports a run that violates its rule."""

import unittest
from dataclasses import replace

from tests.soak.checks import (
    CHECKS,
    EXITED,
    KeyProbe,
    NamedLimit,
    Observations,
    Outcome,
    find_violations,
)
from tests.standins.crashing_servers import ServerEvent


def make_outcome(number, kind='look', status=200, crashing=False, moment=20.0):
    return Outcome(
        f'a{number}',
        kind,
        'poison' if crashing else f'content-{number}',
        crashing,
        moment,
        moment + 0.1,
        status,
        f'data: found for a{number}\n\n'.encode(),
    )


def make_runs(*numbers, moment=20.0):
    return tuple(ServerEvent(moment, 'i-1', f'a{number}') for number in numbers)


VALID_RUN = Observations(
    tuple(make_outcome(number) for number in range(9)),
    make_runs(*range(9)),
    (),
    last_fault_at=0,
    recovery_seconds=5,
)
CRASHING_OUTCOMES = tuple(
    make_outcome(number, status=502, crashing=True) for number in range(9)
)
INVALID_RUNS = {
    'TWICE': replace(
        VALID_RUN,
        outcomes=(make_outcome(1, 'reserve'),),
        runs=make_runs(1, 1),
    ),
    'REFUSED': replace(
        VALID_RUN,
        outcomes=(*VALID_RUN.outcomes, make_outcome(9, 'reserve', 503)),
        runs=make_runs(9),
    ),
    'MIXED': replace(
        VALID_RUN,
        outcomes=(replace(make_outcome(1), body=b'data: found for a2\n\n'),),
    ),
    'BUDGET, attempts': replace(VALID_RUN, runs=make_runs(*list(range(9)) * 3)),
    'BUDGET, crashing requests': replace(
        VALID_RUN,
        outcomes=(*CRASHING_OUTCOMES, make_outcome(99)),
        runs=(
            *make_runs(0, 1, 2, moment=1.0),
            *(
                run
                for number in range(3, 9)
                for run in make_runs(number, moment=10.0 + number)
            ),
        ),
    ),
    'CONFIG': replace(
        VALID_RUN, key_probes=(KeyProbe('probe-1', 10.0, 12.5, 200),)
    ),
    'LIMIT': replace(
        VALID_RUN,
        runs=tuple(
            run
            for number in range(12)
            for run in make_runs(number, moment=20.0 + number / 10)
        ),
        limits=(NamedLimit('i-1', 1.0, 16.0, 40.0),),
    ),
    'DRAIN': replace(VALID_RUN, departures=(ServerEvent(17.9, 'i-1', ''),)),
    'LOST': replace(
        VALID_RUN,
        outcomes=(
            *VALID_RUN.outcomes,
            *(make_outcome(number, status=0) for number in range(10, 15)),
        ),
        runs=make_runs(*range(15)),
    ),
    'RECOVER': replace(
        VALID_RUN,
        outcomes=tuple(make_outcome(number, status=503) for number in range(5)),
    ),
    'memory': replace(VALID_RUN, memory_kb=(90_000, 400_000)),
}


class ChecksTest(unittest.TestCase):
    """Apply the checks to a valid run and to one that violates each rule."""

    def test_valid_run_has_no_violation(self):
        self.assertEqual(find_violations(VALID_RUN), [])

    def test_each_check_finds_only_its_own_violation(self):
        self.assertEqual(set(INVALID_RUNS), set(CHECKS))
        for name, observations in INVALID_RUNS.items():
            with self.subTest(name=name):
                found = find_violations(observations)
                self.assertEqual(
                    [violation.split(': ')[0] for violation in found], [name]
                )

    def test_host_that_exited_by_itself_is_found(self):
        observations = replace(VALID_RUN, memory_kb=(EXITED,))
        self.assertEqual(len(find_violations(observations)), 1)

    def test_crashing_request_that_reached_no_server_is_valid(self):
        """The check once raised an IndexError."""
        observations = replace(
            VALID_RUN,
            outcomes=(*VALID_RUN.outcomes, *CRASHING_OUTCOMES),
            runs=(),
        )
        self.assertEqual(find_violations(observations), [])

    def test_key_that_is_refused_in_time_is_valid(self):
        probes = (
            KeyProbe('probe-1', 10.0, 11.5, 200),
            KeyProbe('probe-1', 10.0, 12.5, 401),
        )
        observations = replace(VALID_RUN, key_probes=probes)
        self.assertEqual(find_violations(observations), [])

    def test_requests_before_a_limit_is_known_are_valid(self):
        observations = replace(
            INVALID_RUNS['LIMIT'],
            limits=(NamedLimit('i-1', 1.0, 18.5, 40.0),),
        )
        self.assertEqual(find_violations(observations), [])

    def test_departures_that_hosts_may_not_have_read_are_excused(self):
        departed = INVALID_RUNS['DRAIN']
        for span, expected in (((15.0, 15.5), []), ((14.0, 14.5), ['DRAIN'])):
            excused = replace(departed, store_disruptions=(span,))
            violations = find_violations(excused)
            self.assertEqual(
                [line.partition(':')[0] for line in violations], expected
            )

    def test_arrivals_during_a_disruption_are_allowed(self):
        observations = replace(
            INVALID_RUNS['BUDGET, crashing requests'],
            disruptions=((9.0, 18.0),),
        )
        self.assertEqual(find_violations(observations), [])
