"""Run a gateway on a machine of the users' platform."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from absl.flags import DEFINE_string, FlagValues
from returns.pipeline import is_successful
from returns.result import Result, Success

from monsoonwall.clocks import SystemClock
from monsoonwall.findings import Finding, format_findings
from monsoonwall.gateway.host import Gateway
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.logs import configure_bounded_logs
from monsoonwall.platform.adapters import make_adapters
from monsoonwall.platform.machine import read_machine_settings
from monsoonwall.settings import USAGE_STATUS, read_settings


def define_gateway_flags(values: FlagValues) -> None:
    """Define the flags of this command."""
    DEFINE_string(
        'node_file',
        '/etc/monsoonwall/settings.toml',
        'Path of the settings file that the platform writes.',
        flag_values=values,
    )


def check_gateway_settings(
    values: FlagValues,
) -> Result[Path, tuple[Finding, ...]]:
    """Return the path of the settings file, which ``read_machine`` checks."""
    return Success(Path(values['node_file'].value))


def run_gateway(arguments: Sequence[str]) -> int:
    """Run a gateway until it is stopped; return the exit status."""
    settings = read_settings(
        define_gateway_flags, check_gateway_settings, arguments
    ).bind(read_machine_settings)
    if not is_successful(settings):
        sys.stderr.write(f'{format_findings(settings.failure())}\n')
        return USAGE_STATUS
    configure_bounded_logs()
    asyncio.run(_serve(settings.unwrap()))
    return 0


async def _serve(settings: GatewaySettings) -> None:
    clock = SystemClock()
    await Gateway(settings, make_adapters(settings, clock), clock).run()
