"""Read the settings of a process from flags and environment variables.

Every flag ``--some_name`` can be given as ``MONSOONWALL_SOME_NAME`` instead;
the flag takes precedence. All settings are checked before anything starts, and
all findings are reported together.
"""

import os
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from absl.flags import (
    DEFINE_bool,
    DEFINE_float,
    DEFINE_integer,
    DEFINE_list,
    DEFINE_string,
    Error,
    FlagValues,
)
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.decisions.intake import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MEGABYTES,
)
from monsoonwall.findings import Finding
from monsoonwall.mesh.settings import MeshSettings

_Settings = TypeVar('_Settings')

# Exit status of a command that was started with invalid settings.
USAGE_STATUS: Final = 2
ENVIRONMENT_PREFIX: Final = 'MONSOONWALL_'
_PROGRAM: Final = 'monsoonwall'
_MAX_PORT: Final = 65_535
_DRAIN_SECONDS: Final = 20
_LEASE_SECONDS: Final = 12
_MAX_BODY_BYTES: Final = 1_000_000
_PLATFORM_READS_PER_SECOND: Final = 100
_PLATFORM_WRITES_PER_SECOND: Final = 40


@dataclass(frozen=True)
class EntrySettings:
    """Hold the settings of an entry host.

    Addresses have the form ``host:port``.
    """

    host_name: str
    zone: str
    region: str
    listen_address: str
    mesh_address: str
    platform_address: str
    peers: tuple[str, ...]
    log_json: bool
    drain_seconds: float
    max_body_bytes: int
    platform_reads_per_second: float
    platform_writes_per_second: float
    cloud_address: str = ''
    lease_seconds: float = 12
    platform_listing: bool = True
    memory_megabytes: float = DEFAULT_MEMORY_MEGABYTES
    max_descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def mesh(self) -> MeshSettings:
        """Return the settings that the mesh uses."""
        return MeshSettings(
            self.host_name,
            self.zone,
            self.region,
            self.mesh_address,
            self.peers,
            self.platform_listing,
        )


@dataclass(frozen=True)
class OperatorSettings:
    """Hold the settings of an operator's command."""

    entry_address: str
    json_output: bool
    timeout_seconds: float


def define_entry_flags(values: FlagValues) -> None:
    """Define the flags of an entry host."""
    _define_identity(values)
    _define_addresses(values)
    _define_limits(values)


def define_operator_flags(values: FlagValues) -> None:
    """Define the flags that the operators' commands share."""
    DEFINE_string(
        'entry_address',
        '127.0.0.1:8080',
        'Address of any entry host, as host:port.',
        flag_values=values,
    )
    DEFINE_bool(
        'json_output', False, 'Print JSON instead of text.', flag_values=values
    )
    DEFINE_float(
        'timeout_seconds',
        10,
        'Seconds to wait for a response of the entry host.',
        flag_values=values,
        lower_bound=0.1,
    )


def read_settings(
    define: Callable[[FlagValues], None],
    check: Callable[[FlagValues], Result[_Settings, tuple[Finding, ...]]],
    arguments: Sequence[str],
    environment: Mapping[str, str] = os.environ,
) -> Result[_Settings, tuple[Finding, ...]]:
    """Parse and check the settings; return them or all findings.

    ``define`` declares the flags; ``check`` builds the settings from them.
    """
    values = FlagValues()
    define(values)
    findings = [
        *_apply_environment(values, environment),
        *_apply_arguments(values, arguments),
    ]
    # Check what could be parsed even after a parsing error, so that one run
    # reports every finding.
    checked = check(values)
    if is_successful(checked) and not findings:
        return checked
    return Failure((*findings, *checked.swap().value_or(())))


def describe_flags(define: Callable[[FlagValues], None]) -> str:
    """Return the help text of all flags, sorted by name."""
    values = FlagValues()
    define(values)
    return '\n'.join(
        f'  --{name}={values[name].value!r}\n      {values[name].help}'
        for name in sorted(values)
    )


def check_entry_settings(
    values: FlagValues,
) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Return the settings of an entry host, or all findings."""
    findings = [
        Finding(
            f'--{name}', 'must be set, as a flag or an environment variable'
        )
        for name in ('host_name', 'zone', 'platform_address')
        if not values[name].value
    ]
    for name in (
        'listen_address',
        'mesh_address',
        'platform_address',
        'cloud_address',
    ):
        findings.extend(check_address(f'--{name}', values[name].value))
    for peer in values['peers'].value:
        findings.extend(check_address('--peers', peer))
    if findings:
        return Failure(tuple(findings))
    return Success(
        EntrySettings(
            host_name=values['host_name'].value,
            zone=values['zone'].value,
            region=values['region'].value,
            listen_address=values['listen_address'].value,
            mesh_address=values['mesh_address'].value,
            platform_address=values['platform_address'].value,
            peers=tuple(values['peers'].value),
            log_json=values['log_json'].value,
            drain_seconds=values['drain_seconds'].value,
            max_body_bytes=values['max_body_bytes'].value,
            platform_reads_per_second=values['platform_reads_per_second'].value,
            platform_writes_per_second=values[
                'platform_writes_per_second'
            ].value,
            cloud_address=values['cloud_address'].value,
            lease_seconds=values['lease_seconds'].value,
            platform_listing=values['platform_listing'].value,
            memory_megabytes=values['memory_megabytes'].value,
            max_descriptors=values['max_descriptors'].value,
        )
    )


def check_operator_settings(
    values: FlagValues,
) -> Result[OperatorSettings, tuple[Finding, ...]]:
    """Return the settings of an operator's command, or all findings."""
    address = values['entry_address'].value
    findings = check_address('--entry_address', address)
    if findings:
        return Failure(findings)
    return Success(
        OperatorSettings(
            entry_address=address,
            json_output=values['json_output'].value,
            timeout_seconds=values['timeout_seconds'].value,
        )
    )


def check_address(place: str, address: str) -> tuple[Finding, ...]:
    """Return the findings on a ``host:port`` address; an empty one is valid."""
    host, _, port = address.rpartition(':')
    if not address:
        return ()
    if not host or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        return (Finding(place, f'{address!r} is no address; write host:port'),)
    return ()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of a valid address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _define_identity(values: FlagValues) -> None:
    DEFINE_string(
        'host_name', '', 'Name of this entry host.', flag_values=values
    )
    DEFINE_string(
        'zone', '', 'Availability zone of this host.', flag_values=values
    )
    DEFINE_string('region', 'local', 'Region of this host.', flag_values=values)
    DEFINE_bool(
        'log_json', False, 'Write logs as JSON lines.', flag_values=values
    )


def _define_addresses(values: FlagValues) -> None:
    DEFINE_string(
        'listen_address',
        '127.0.0.1:8080',
        'Address for callers and operators, as host:port.',
        flag_values=values,
    )
    DEFINE_string(
        'mesh_address',
        '127.0.0.1:8081',
        'Address for the other entry hosts, as host:port.',
        flag_values=values,
    )
    DEFINE_string(
        'platform_address',
        '',
        'Address of the platform, as host:port.',
        flag_values=values,
    )
    DEFINE_string(
        'cloud_address',
        '',
        'Address of the cloud API, as host:port; empty if there is none.',
        flag_values=values,
    )
    DEFINE_list(
        'peers',
        [],
        'Mesh addresses of other entry hosts, used as seeds.',
        flag_values=values,
    )


def _define_limits(values: FlagValues) -> None:
    DEFINE_float(
        'drain_seconds',
        _DRAIN_SECONDS,
        'Seconds that a graceful shutdown waits for running requests.',
        flag_values=values,
        lower_bound=0,
    )
    DEFINE_integer(
        'max_body_bytes',
        _MAX_BODY_BYTES,
        'Largest request body accepted, in bytes.',
        flag_values=values,
        lower_bound=1,
    )
    DEFINE_float(
        'memory_megabytes',
        DEFAULT_MEMORY_MEGABYTES,
        'Memory of this host; a part of it holds what callers send.',
        flag_values=values,
        lower_bound=1,
    )
    DEFINE_integer(
        'max_descriptors',
        DEFAULT_DESCRIPTORS,
        'Descriptors of this process; a part of them is for callers.',
        flag_values=values,
        lower_bound=1,
    )
    DEFINE_bool(
        'platform_listing',
        True,
        'Publish and find mesh addresses of entry hosts through the platform.',
        flag_values=values,
    )
    DEFINE_float(
        'lease_seconds',
        _LEASE_SECONDS,
        'Duration of a lease in seconds; must be equal on all entry hosts.',
        flag_values=values,
        lower_bound=3,
    )
    DEFINE_float(
        'platform_reads_per_second',
        _PLATFORM_READS_PER_SECOND,
        'Reads and watches per second that this host may send to the platform.',
        flag_values=values,
        lower_bound=0.1,
    )
    DEFINE_float(
        'platform_writes_per_second',
        _PLATFORM_WRITES_PER_SECOND,
        'Writes per second that this host may send to the platform.',
        flag_values=values,
        lower_bound=0.1,
    )


def _apply_arguments(
    values: FlagValues, arguments: Sequence[str]
) -> list[Finding]:
    try:
        unparsed = values((_PROGRAM, *arguments))
    except Error:
        return _apply_one_by_one(values, arguments)
    return [
        Finding(argument, 'is not a flag; use --name=value')
        for argument in unparsed[1:]
    ]


def _apply_one_by_one(
    values: FlagValues, arguments: Sequence[str]
) -> list[Finding]:
    """Parse each argument alone; the parser stops at the first fault."""
    findings = []
    for argument in arguments:
        try:
            values((_PROGRAM, argument))
        except Error as error:
            findings.append(Finding(argument.partition('=')[0], str(error)))
    return findings


def _apply_environment(
    values: FlagValues, environment: Mapping[str, str]
) -> list[Finding]:
    findings = []
    for name in list(values):
        variable = f'{ENVIRONMENT_PREFIX}{name.upper()}'
        if variable not in environment:
            continue
        try:
            values[name].parse(environment[variable])
        except Error as error:
            findings.append(Finding(variable, str(error)))
    return findings
