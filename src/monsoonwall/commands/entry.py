"""Run an entry host."""

import asyncio
import sys
from collections.abc import Sequence

from returns.pipeline import is_successful

from monsoonwall.clocks import SystemClock
from monsoonwall.entry.host import EntryHost
from monsoonwall.findings import format_findings
from monsoonwall.logs import configure_logs
from monsoonwall.settings import (
    USAGE_STATUS,
    EntrySettings,
    check_entry_settings,
    define_entry_flags,
    read_settings,
)


def run_entry(arguments: Sequence[str]) -> int:
    """Run an entry host until it is stopped; return the exit status."""
    checked = read_settings(define_entry_flags, check_entry_settings, arguments)
    if not is_successful(checked):
        sys.stderr.write(f'{format_findings(checked.failure())}\n')
        return USAGE_STATUS
    settings = checked.unwrap()
    configure_logs(settings.log_json)
    asyncio.run(_serve(settings))
    return 0


async def _serve(settings: EntrySettings) -> None:
    await EntryHost(settings, SystemClock()).run()
