"""Check a configuration file without any host."""

from collections.abc import Sequence
from typing import Any

from absl.flags import DEFINE_bool, DEFINE_string, FlagValues
from returns.pipeline import is_successful

from monsoonwall.commands.client import (
    ExitStatus,
    print_error,
    print_json,
    print_lines,
)
from monsoonwall.commands.files import read_json_file
from monsoonwall.configuration.document import check_document
from monsoonwall.findings import format_findings
from monsoonwall.settings import parse_flags


def define_check_flags(values: FlagValues) -> None:
    """Define the flags of this command."""
    DEFINE_string(
        'file',
        '',
        'File with the whole configuration; - reads standard input.',
        flag_values=values,
    )
    DEFINE_bool(
        'json_output', False, 'Print JSON for programs.', flag_values=values
    )


def run_check(arguments: Sequence[str]) -> int:
    """Print every finding and return the exit status."""
    parsed = parse_flags(define_check_flags, arguments)
    read = parsed.bind(lambda found: read_json_file(found[0]['file'].value))
    if not is_successful(read):
        print_error(format_findings(read.failure()))
        return ExitStatus.usage
    document = read.unwrap()
    if isinstance(document, dict):
        # What a host shows of its configuration can be checked as it is.
        document.pop('number', None)
    checked = check_document(document, 1)
    findings = () if is_successful(checked) else checked.failure()
    if parsed.unwrap()[0]['json_output'].value:
        print_json({'findings': findings})
    elif findings:
        print_lines(format_findings(findings))
    else:
        print_lines(f'no findings in {_count_entries(document)}')
    return ExitStatus.refused if findings else ExitStatus.done


def _count_entries(document: dict[str, Any]) -> str:
    return ', '.join(
        f'{len(entries)} {section}' for section, entries in document.items()
    )
