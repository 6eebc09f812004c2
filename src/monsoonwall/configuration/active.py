"""Hold the configuration active on one host and adopt newer ones."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from returns.pipeline import is_successful

from monsoonwall.configuration.announcement import (
    decode_announcement,
    derive_stored,
)
from monsoonwall.configuration.document import check_document
from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.stored import (
    StoredConfiguration,
    decode_stored,
    digest_document,
    encode_uncompressed,
)
from monsoonwall.decisions.adoption import (
    Adoption,
    ConfigurationId,
    OfferVerdict,
)
from monsoonwall.findings import Finding, format_findings
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CONFIGURATION_OFFERS

_log = make_logger('configuration')


class Source(StrEnum):
    """Name the origin of an offered configuration."""

    platform = 'platform'
    mesh = 'mesh'


@dataclass(frozen=True)
class OfferResult:
    """Hold the result of offering a configuration.

    ``number`` is that of the offer, or 0 if it could not be decoded.
    ``supersedes_held`` means that the offer is a newer accepted configuration
    that this host cannot adopt.
    """

    number: int
    adopted: bool
    supersedes_held: bool = False


class ActiveConfiguration:
    """Adopt offered configurations that pass the checks and are newer.

    ``problems`` are the findings about the last offer that was unreadable,
    invalid or contradictory; an adoption clears them.
    """

    def __init__(self) -> None:
        self._adoption = Adoption()
        self._content: bytes | None = None
        self.configuration: Configuration | None = None
        self.problems: tuple[Finding, ...] = ()

    @property
    def held(self) -> ConfigurationId:
        """Return the number and digest in force; the number is 0 for none."""
        return self._adoption.held

    def read_content(self) -> bytes | None:
        """Return the configuration in force, encoded but not compressed."""
        return self._content

    def read_held(self) -> StoredConfiguration | None:
        """Return a copy of the configuration in force, or None."""
        if self._content is None:
            return None
        return decode_stored(self._content).unwrap()

    def offer_object(
        self, content: bytes, source: Source = Source.platform
    ) -> OfferResult:
        """Offer the content of the platform's object or of a peer's copy."""
        decoded = decode_stored(content)
        if not is_successful(decoded):
            self._report(source, 'unreadable', decoded.failure())
            return OfferResult(0, adopted=False)
        return self.offer_stored(decoded.unwrap(), source)

    def offer_announcement(self, payload: bytes) -> OfferResult | None:
        """Offer an announcement; return None if it is not sufficient.

        The whole configuration must be read then.
        """
        decoded = decode_announcement(payload)
        if not is_successful(decoded):
            self._report(Source.mesh, 'unreadable', (decoded.failure(),))
            return None
        announcement = decoded.unwrap()
        if announcement.number <= self.held.number:
            return OfferResult(announcement.number, adopted=False)
        derived = derive_stored(announcement, self.read_held())
        if derived is None:
            return None
        return self.offer_stored(derived, Source.mesh)

    def offer_stored(
        self, stored: StoredConfiguration, source: Source = Source.platform
    ) -> OfferResult:
        """Offer a decoded configuration."""
        offer = ConfigurationId(stored.number, digest_document(stored.document))
        verdict = self._adoption.evaluate_offer(offer)
        CONFIGURATION_OFFERS.labels(source, verdict).inc()
        if verdict is OfferVerdict.adopt:
            return self._check_and_adopt(offer, stored, source)
        if verdict is OfferVerdict.contradiction:
            self._report(source, verdict, (_describe_contradiction(offer),))
        supersedes_held = (
            verdict is OfferVerdict.refused_before
            and stored.matches_last_patch()
        )
        return OfferResult(
            stored.number, adopted=False, supersedes_held=supersedes_held
        )

    def _check_and_adopt(
        self,
        offer: ConfigurationId,
        stored: StoredConfiguration,
        source: Source,
    ) -> OfferResult:
        checked = check_document(
            stored.document, stored.number, self._read_held_document()
        )
        if not is_successful(checked):
            self._adoption.refuse(offer)
            self._report(source, 'refused', checked.failure())
            return OfferResult(
                stored.number,
                adopted=False,
                supersedes_held=stored.matches_last_patch(),
            )
        self._adoption.adopt(offer)
        self._content = encode_uncompressed(stored)
        self.configuration = checked.unwrap()
        self.problems = ()
        _log.info('Configuration adopted.', number=stored.number, source=source)
        return OfferResult(stored.number, adopted=True)

    def _read_held_document(self) -> Any:
        held = self.read_held()
        return None if held is None else held.document

    def _report(
        self, source: Source, verdict: str, findings: tuple[Finding, ...]
    ) -> None:
        CONFIGURATION_OFFERS.labels(source, verdict).inc()
        if findings == self.problems:
            return
        self.problems = findings
        _log.error(
            'Configuration not adopted.',
            source=source,
            findings=format_findings(findings),
        )


def _describe_contradiction(offer: ConfigurationId) -> Finding:
    return Finding(
        '/number',
        f'{offer.number} stands for two documents; the one adopted first '
        'stays in force until a later patch',
    )
