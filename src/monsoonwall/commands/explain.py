"""Explain where a call goes and why, or what became of a request.

``explain --route=...`` asks a running host. ``explain REQUEST_ID LOG...``
reads the logs of several hosts instead and needs none of them to run.
"""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlencode

from absl.flags import DEFINE_list, DEFINE_string, FlagValues
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.commands.client import (
    ExitStatus,
    call_host,
    print_error,
    print_json,
    print_tree,
)
from monsoonwall.findings import Finding, format_findings
from monsoonwall.request_timeline import (
    build_timeline,
    format_timeline,
    read_log,
)
from monsoonwall.settings import (
    OperatorSettings,
    check_operator_settings,
    define_operator_flags,
    read_settings,
)


def define_explain_flags(values: FlagValues) -> None:
    """Define the flags of this command."""
    define_operator_flags(values)
    DEFINE_string('route', '', 'Route of the call.', flag_values=values)
    DEFINE_string('workspace', '', 'Workspace of the call.', flag_values=values)
    DEFINE_string(
        'request_id', '', 'Request to tell about.', flag_values=values
    )
    DEFINE_list(
        'with',
        [],
        'Further facts of the call, as name=value.',
        flag_values=values,
    )


def run_explain(arguments: Sequence[str]) -> int:
    """Print the explanation and return the exit status."""
    if arguments and not arguments[0].startswith('-'):
        return _print_timeline(arguments[0], arguments[1:])
    inputs = read_settings(define_explain_flags, _check_inputs, arguments)
    if not is_successful(inputs):
        print_error(format_findings(inputs.failure()))
        return ExitStatus.usage
    return _print_explanation(inputs.unwrap())


def _print_timeline(request_id: str, log_files: Sequence[str]) -> int:
    if not log_files:
        print_error('name the log files of the hosts after the request id')
        return ExitStatus.usage
    lines = []
    for path in map(Path, log_files):
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            print_error(f'{path} cannot be read: {error.strerror}')
            return ExitStatus.usage
        lines.extend(read_log(path.stem, text.splitlines()))
    timeline = build_timeline(request_id, lines)
    sys.stdout.write(format_timeline(timeline))
    return ExitStatus.done if timeline.lines else ExitStatus.unknown


@dataclass(frozen=True)
class _ExplainRequest:
    settings: OperatorSettings
    query: str


def _check_inputs(
    values: FlagValues,
) -> Result[_ExplainRequest, tuple[Finding, ...]]:
    checked = check_operator_settings(values)
    query = _make_query(values)
    if is_successful(checked) and is_successful(query):
        return Success(_ExplainRequest(checked.unwrap(), query.unwrap()))
    return Failure((*checked.swap().value_or(()), *query.swap().value_or(())))


def _make_query(values: FlagValues) -> Result[str, tuple[Finding, ...]]:
    parameters = {
        name: values[name].value
        for name in ('route', 'workspace', 'request_id')
        if values[name].value
    }
    if not parameters.get('route') and not parameters.get('request_id'):
        return Failure(
            (Finding('--route', 'set it, or --request_id, or both'),)
        )
    for pair in values['with'].value:
        name, _, content = pair.partition('=')
        parameters[name] = content
    return Success(urlencode(parameters))


def _print_explanation(request: _ExplainRequest) -> int:
    settings = request.settings
    response = call_host(settings, f'/admin/explain?{request.query}')
    if not is_successful(response):
        print_error(response.failure())
        return ExitStatus.unknown
    sections = response.unwrap().content
    if settings.json_output:
        print_json(sections)
    else:
        print_tree(sections)
    return ExitStatus.done
