"""Check the planned moves of a configuration."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from itertools import pairwise
from typing import Any

from msgspec import ValidationError, convert

from monsoonwall.configuration.model import Configuration, Move, Service
from monsoonwall.configuration.schema import make_place
from monsoonwall.findings import Finding


def find_change_faults(
    moves_before: Mapping[str, Any], after: Configuration, now_wall: float
) -> tuple[Finding, ...]:
    """Return findings for new or changed moves whose deadline has passed.

    ``moves_before`` is the section of the document before the change.
    """
    known = _read_moves(moves_before)
    return tuple(
        Finding(
            make_place('moves', name, 'deadline_wall'),
            'the deadline has passed; set one that is still to come',
        )
        for name, move in after.moves.items()
        if move != known.get(name) and move.deadline_wall <= now_wall
    )


def check_moves(configuration: Configuration) -> Iterator[Finding]:
    """Report moves with unknown services or versions, or invalid times."""
    for name, move in configuration.moves.items():
        place = make_place('moves', name)
        service = configuration.services.get(move.service)
        if service is None:
            yield report_unknown_service(place, configuration, move.service)
        else:
            yield from _check_move_versions(place, service, move)
        if move.deadline_wall <= move.begin_wall:
            yield Finding(
                f'{place}/deadline_wall',
                'must be after begin_wall; set a later time',
            )


def _check_move_versions(
    place: str, service: Service, move: Move
) -> Iterator[Finding]:
    for field, version in (
        ('from_version', move.from_version),
        ('to_version', move.to_version),
    ):
        if version not in service.versions:
            yield report_unknown_version(f'{place}/{field}', service, version)
    if move.from_version == move.to_version:
        yield Finding(f'{place}/to_version', 'must differ from from_version')


def check_overlaps(configuration: Configuration) -> Iterator[Finding]:
    """Report moves of one service that overlap in time."""
    # Begin, deadline and name of each move.
    by_service: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for name, move in configuration.moves.items():
        by_service[move.service].append(
            (move.begin_wall, move.deadline_wall, name)
        )
    for planned in by_service.values():
        for first, second in pairwise(sorted(planned)):
            if second[0] < first[1]:
                yield Finding(
                    make_place('moves', second[2], 'begin_wall'),
                    f'overlaps move {first[2]!r} of the same service; '
                    'begin after its deadline',
                )


def _read_moves(moves: Any) -> Mapping[str, Move]:
    try:
        return convert(moves, dict[str, Move])
    except ValidationError:
        return {}


def report_unknown_service(
    place: str, configuration: Configuration, name: str
) -> Finding:
    """Return the finding for a service that is not declared."""
    known = ', '.join(sorted(configuration.services)) or 'none'
    return Finding(
        f'{place}/service', f'no service {name!r}; declared are {known}'
    )


def report_unknown_version(
    place: str, service: Service, version: str
) -> Finding:
    """Return the finding for a version that is not declared."""
    known = ', '.join(sorted(service.versions))
    return Finding(place, f'no version {version!r}; declared are {known}')
