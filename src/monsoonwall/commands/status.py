"""Show the state of the hosts and of the moves."""

from collections.abc import Sequence
from typing import Any

from returns.pipeline import is_successful

from monsoonwall.commands.client import (
    ExitStatus,
    call_host,
    print_error,
    print_json,
    print_lines,
    print_tree,
)
from monsoonwall.findings import format_findings
from monsoonwall.settings import (
    check_operator_settings,
    define_operator_flags,
    read_settings,
)


def run_status(arguments: Sequence[str]) -> int:
    """Print the status and return the exit status."""
    checked = read_settings(
        define_operator_flags, check_operator_settings, arguments
    )
    if not is_successful(checked):
        print_error(format_findings(checked.failure()))
        return ExitStatus.usage
    settings = checked.unwrap()
    response = call_host(settings, '/admin/status')
    if not is_successful(response):
        print_error(response.failure())
        return ExitStatus.unknown
    sections = response.unwrap().content
    if settings.json_output:
        print_json(sections)
    else:
        _print_sections(sections)
    return ExitStatus.done


def _print_sections(sections: dict[str, Any]) -> None:
    for section, content in sections.items():
        print_lines(f'{section}:')
        if section == 'configuration' and 'hosts' in content:
            _print_configuration(content)
        else:
            print_tree(content, '  ')


def _print_configuration(content: dict[str, Any]) -> None:
    freshness = 'current' if content['current'] else 'may be old'
    print_lines(f'  number {content["number"]} on this host, {freshness}')
    for problem in content['problems']:
        print_lines(f'  not adopted: {problem}')
    by_zone: dict[str, list[str]] = {}
    for entry in content['hosts']:
        note = entry['note']
        line = f'    {entry["host"]}: number {note["lowest"]} {note["problem"]}'
        by_zone.setdefault(note['zone'], []).append(line.rstrip())
    for zone in sorted(by_zone):
        print_lines(f'  zone {zone}:', *sorted(by_zone[zone]))
