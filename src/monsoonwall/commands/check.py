"""Check a configuration file without any host."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from absl.flags import DEFINE_bool, DEFINE_string, FlagValues
from returns.pipeline import is_successful
from returns.result import Result

from monsoonwall.commands.client import (
    ExitStatus,
    print_error,
    print_json,
    print_lines,
)
from monsoonwall.commands.files import read_json_file
from monsoonwall.configuration.document import check_document
from monsoonwall.findings import Finding, format_findings
from monsoonwall.settings import read_settings


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
    inputs = read_settings(define_check_flags, _read_inputs, arguments)
    if not is_successful(inputs):
        print_error(format_findings(inputs.failure()))
        return ExitStatus.usage
    document = inputs.unwrap().document
    if isinstance(document, dict):
        # What a host shows of its configuration can be checked as it is.
        document.pop('number', None)
    checked = check_document(document, 1)
    findings = () if is_successful(checked) else checked.failure()
    if inputs.unwrap().json_output:
        print_json({'findings': findings})
    elif findings:
        print_lines(format_findings(findings))
    else:
        print_lines(f'no findings in {_count_entries(document)}')
    return ExitStatus.refused if findings else ExitStatus.done


@dataclass(frozen=True)
class _Inputs:
    document: Any
    json_output: bool


def _read_inputs(values: FlagValues) -> Result[_Inputs, tuple[Finding, ...]]:
    json_output = values['json_output'].value
    return read_json_file(values['file'].value).map(
        lambda document: _Inputs(document, json_output)
    )


def _count_entries(document: dict[str, Any]) -> str:
    return ', '.join(
        f'{len(entries)} {section}' for section, entries in document.items()
    )
