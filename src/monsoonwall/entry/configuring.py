"""Keep the configuration in force on this host current."""

import asyncio
from collections.abc import Callable
from typing import Final

from msgspec import DecodeError, json
from returns.pipeline import is_successful

from monsoonwall.clocks import Clock
from monsoonwall.configuration.document import (
    CONFIGURATION_KEY,
    check_document,
)
from monsoonwall.configuration.model import Configuration
from monsoonwall.findings import format_findings
from monsoonwall.logs import make_logger
from monsoonwall.platform.objects import CallReason, ObjectStore, StoredObject

_WATCH_SECONDS: Final = 20.0
_RETRY_SECONDS: Final = 0.5

_log = make_logger('configuration')


class ConfigurationTask:
    """Watch the platform and adopt each newer configuration."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        adopt: Callable[[Configuration], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._adopt = adopt
        self._number = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            deadline = self._clock.read_monotonic() + _WATCH_SECONDS
            found = await self._store.watch(
                CONFIGURATION_KEY,
                self._number,
                deadline,
                CallReason.configuration,
            )
            if is_successful(found):
                self._take(found.unwrap())
            else:
                await asyncio.sleep(_RETRY_SECONDS)

    def _take(self, stored: StoredObject) -> None:
        if stored.version <= self._number:
            return
        try:
            document = json.decode(stored.content)
        except DecodeError as error:
            _log.error('Configuration is not JSON.', error=str(error))
            return
        checked = check_document(document, stored.version)
        self._number = stored.version
        if is_successful(checked):
            self._adopt(checked.unwrap())
            _log.info('Configuration adopted.', number=stored.version)
        else:
            _log.error(
                'Configuration refused.',
                findings=format_findings(checked.failure()),
            )
