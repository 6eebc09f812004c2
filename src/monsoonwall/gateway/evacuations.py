"""Keep which zones operators have evacuated."""

from monsoonwall.gateway.records import Record
from monsoonwall.logs import make_logger
from monsoonwall.metrics import GATEWAY_EVACUATED_ZONES

_log = make_logger('knowledge')


class Evacuations:
    """Hold the zones whose servers must get no requests."""

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()

    def adopt(self, record: Record) -> None:
        """Adopt the latest record of a zone; it is evacuated while present."""
        zone = frozenset((record.name,))
        evacuated = record.content is not None
        self.zones = self.zones | zone if evacuated else self.zones - zone
        GATEWAY_EVACUATED_ZONES.set(len(self.zones))
        _log.info(
            'Evacuation of a zone adopted.'
            if evacuated
            else 'Evacuation of a zone ended.',
            zone=record.name,
            era=record.era,
            revision=record.revision,
        )
