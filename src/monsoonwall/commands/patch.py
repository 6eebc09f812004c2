"""Submit a patch to a numbered configuration."""

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from absl.flags import DEFINE_float, DEFINE_integer, DEFINE_string, FlagValues
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.commands.client import (
    ExitStatus,
    HostResponse,
    call_host,
    print_error,
    print_json,
    print_lines,
)
from monsoonwall.commands.files import read_json_file
from monsoonwall.findings import Finding, format_findings
from monsoonwall.settings import (
    OperatorSettings,
    check_operator_settings,
    define_operator_flags,
    read_settings,
)

_ID_BYTES: Final = 6
_POLL_SECONDS: Final = 0.2
_BASE_MISSING: Final = Finding(
    '--base', 'must be set; monsoonwall status shows the current number'
)
_EXIT_STATUSES: Final = MappingProxyType(
    {
        'accepted': ExitStatus.done,
        'refused': ExitStatus.refused,
        'platform_unavailable': ExitStatus.refused,
    }
)


def define_patch_flags(values: FlagValues) -> None:
    """Define the flags of this command."""
    define_operator_flags(values)
    DEFINE_integer(
        'base',
        None,
        'Number of the configuration to patch; 0 if there is none yet.',
        flag_values=values,
        lower_bound=0,
    )
    DEFINE_string(
        'file',
        '',
        'File with the patch: a JSON array is a JSON patch (RFC 6902), an '
        'object a merge patch (RFC 7386); - for standard input.',
        flag_values=values,
    )
    DEFINE_string(
        'patch_id',
        '',
        'Id of an earlier submission of this patch, to learn its outcome.',
        flag_values=values,
    )
    DEFINE_float(
        'wait_seconds',
        5,
        'Seconds to wait until all reachable hosts use the new number.',
        flag_values=values,
        lower_bound=0,
    )


def run_patch(arguments: Sequence[str]) -> int:
    """Submit the patch; return the exit status."""
    inputs = read_settings(define_patch_flags, _check_inputs, arguments)
    if not is_successful(inputs):
        print_error(format_findings(inputs.failure()))
        return ExitStatus.usage
    submission = inputs.unwrap()
    response = call_host(submission.settings, '/admin/patch', submission.body)
    if not is_successful(response):
        print_error(_advise_resubmission(submission.body, response.failure()))
        return ExitStatus.unknown
    return _handle_outcome(submission, response.unwrap())


@dataclass(frozen=True)
class _Submission:
    settings: OperatorSettings
    body: dict[str, Any]
    wait_seconds: float


def _check_inputs(
    values: FlagValues,
) -> Result[_Submission, tuple[Finding, ...]]:
    base = values['base'].value
    patch = read_json_file(values['file'].value)
    settings = check_operator_settings(values)
    findings = (
        *patch.swap().value_or(()),
        *settings.swap().value_or(()),
        *((_BASE_MISSING,) if base is None else ()),
    )
    if findings:
        return Failure(findings)
    patch_id = values['patch_id'].value or secrets.token_hex(_ID_BYTES)
    body = {'base': base, 'patch_id': patch_id, 'patch': patch.unwrap()}
    return Success(
        _Submission(settings.unwrap(), body, values['wait_seconds'].value)
    )


def _handle_outcome(submission: _Submission, response: HostResponse) -> int:
    settings = submission.settings
    patch_id = submission.body['patch_id']
    outcome = response.content
    if 'ending' not in outcome:
        print_error(f'refused: {outcome.get("error", outcome)}')
        return ExitStatus.refused
    if outcome['ending'] == 'accepted':
        deadline = time.monotonic() + submission.wait_seconds
        outcome['in_force'] = _wait_in_force(
            settings, outcome['number'], deadline
        )
    if settings.json_output:
        print_json({**outcome, 'patch_id': patch_id})
    else:
        _print_outcome(outcome, patch_id)
    return _EXIT_STATUSES.get(outcome['ending'], ExitStatus.unknown)


def _wait_in_force(
    settings: OperatorSettings, number: int, deadline: float
) -> dict[str, Any]:
    """Poll until all hosts use the number or the deadline passes.

    Return how many hosts there are and which are behind.
    """
    while True:
        response = call_host(settings, '/admin/status')
        hosts = response.map(_get_host_numbers).value_or({})
        behind = sorted(name for name in hosts if hosts[name] < number)
        done = bool(hosts) and not behind
        if done or time.monotonic() >= deadline:
            return {'hosts': len(hosts), 'behind': behind}
        time.sleep(_POLL_SECONDS)


def _get_host_numbers(response: HostResponse) -> dict[str, int]:
    hosts = response.content.get('configuration', {}).get('hosts', [])
    return {entry['host']: entry['note']['lowest'] for entry in hosts}


def _print_outcome(outcome: dict[str, Any], patch_id: str) -> None:
    ending = outcome['ending']
    number = outcome['number']
    if ending != 'accepted':
        print_lines(
            f'patch {patch_id}: {ending}; the newest number seen is {number}',
            *(
                f'  {finding["place"]}: {finding["reason"]}'
                for finding in outcome['findings']
            ),
        )
        return
    host_count = outcome['in_force']['hosts']
    behind = outcome['in_force']['behind']
    in_force_count = host_count - len(behind)
    settled = time.strftime('%H:%M:%S', time.localtime(outcome['settled_wall']))
    print_lines(
        f'patch {patch_id}: accepted as number {number}',
        f'  in force on {in_force_count} of {host_count} reachable hosts',
        '  unreachable hosts stop non-idempotent calls, moves and orders '
        f'by {settled}',
        *(f'  not yet in force on {name}' for name in behind),
    )


def _describe_finding(finding: dict[str, str]) -> str:
    place = finding['place']
    reason = finding['reason']
    return f'  {place}: {reason}'


def _advise_resubmission(body: dict[str, Any], reason: str) -> str:
    patch_id = body['patch_id']
    return (
        f'{reason}; the patch may or may not be accepted; to find out, submit '
        f'it again with --patch_id={patch_id}'
    )
