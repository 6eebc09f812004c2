"""Compose all that a gateway needs of the users' platform."""

from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.adapters import GatewayAdapters
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.platform.dialect import PlatformDialect
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.duties import PlatformDuties
from monsoonwall.platform.engines import PlatformEngines
from monsoonwall.platform.store import PlatformStore

_READY_PATH: Final = '/monsoonwall/ready'


def make_adapters(settings: GatewaySettings, clock: Clock) -> GatewayAdapters:
    """Return the adapters of one gateway."""
    store = PlatformStore(settings.store_address, clock)
    return GatewayAdapters(
        objects=store,
        records=store,
        codec=PlatformCodec(),
        rollouts=store,
        dialect=PlatformDialect(),
        duties=PlatformDuties(settings.duties_address),
        engines=PlatformEngines(),
        ready_path=_READY_PATH,
    )
