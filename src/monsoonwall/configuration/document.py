"""Check a configuration document and convert it into the model."""

from typing import Any, Final

from msgspec import ValidationError, convert
from returns.result import Failure, Result, Success

from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.references import find_reference_faults
from monsoonwall.configuration.schema import (
    find_structure_faults,
    prune_unchanged,
)
from monsoonwall.findings import Finding

CONFIGURATION_KEY: Final = 'configuration/current'


def check_document(
    document: Any, number: int, checked: Any = None
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration of a document, or all findings.

    Entries that are equal in ``checked``, a document that passed before, are
    not validated against the schema again.
    """
    faults = find_structure_faults(prune_unchanged(document, checked))
    if faults:
        return Failure(tuple(sorted(faults)))
    try:
        configuration = convert({**document, 'number': number}, Configuration)
    except ValidationError as error:
        return Failure((Finding('/', str(error)),))
    findings = find_reference_faults(configuration)
    if findings:
        return Failure(tuple(sorted(findings)))
    return Success(configuration)
