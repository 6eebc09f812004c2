"""Validate the structure of a document against ``schema.json``."""

from collections.abc import Callable, Mapping
from importlib.resources import files
from types import MappingProxyType
from typing import Any, Final

from jsonschema import Draft202012Validator, ValidationError
from msgspec import json

from monsoonwall.findings import Finding

_MAX_REASON_LENGTH: Final = 200

SCHEMA: Final = json.decode(
    files('monsoonwall.configuration').joinpath('schema.json').read_bytes()
)
_VALIDATOR: Final = Draft202012Validator(SCHEMA)


def find_structure_faults(document: Any) -> tuple[Finding, ...]:
    """Return a finding for each violation of the schema."""
    return tuple(map(_describe_error, _VALIDATOR.iter_errors(document)))


def prune_unchanged(document: Any, checked: Any) -> Any:
    """Return the document without entries that equal those of a checked one.

    The remaining entries keep their paths, so findings name the same places.
    """
    if not isinstance(document, Mapping) or not isinstance(checked, Mapping):
        return document
    return {
        section: _prune_section(entries, checked.get(section))
        for section, entries in document.items()
        if entries != checked.get(section)
    }


def make_place(*parts: str | int) -> str:
    """Return the JSON pointer with the given parts."""
    escaped = (
        str(part).replace('~', '~0').replace('/', '~1') for part in parts
    )
    return ''.join(f'/{part}' for part in escaped)


def _prune_section(entries: Any, checked: Any) -> Any:
    if not isinstance(entries, Mapping) or not isinstance(checked, Mapping):
        return entries
    return {
        name: entry
        for name, entry in entries.items()
        if name not in checked or entry != checked[name]
    }


def _describe_error(error: ValidationError) -> Finding:
    describe = _REASONS.get(str(error.validator), _describe_other)
    place = make_place(*error.absolute_path) or '/'
    return Finding(place, describe(error)[:_MAX_REASON_LENGTH])


def _describe_other(error: ValidationError) -> str:
    return error.message


def _describe_type(error: ValidationError) -> str:
    return f'must be of type {error.validator_value}'


def _describe_enum(error: ValidationError) -> str:
    allowed = ', '.join(map(repr, error.validator_value))
    return f'{error.instance!r} is not allowed; write one of {allowed}'


def _describe_required(error: ValidationError) -> str:
    # The library reports each missing field as a separate error, and names
    # it in the message only.
    name = error.message.split("'")[1]
    return f'{name!r} is missing; add it'


def _describe_unknown(error: ValidationError) -> str:
    allowed = error.schema.get('properties', {})
    unknown = ', '.join(sorted(set(error.instance) - set(allowed)))
    known = ', '.join(sorted(allowed))
    return f'unknown fields {unknown}; known are {known}'


def _describe_pattern(error: ValidationError) -> str:
    return (
        f'{error.instance!r} does not match {error.validator_value}; rename it'
    )


def _describe_limit(error: ValidationError) -> str:
    return f'{error.instance!r} is out of range; {error.message}'


_REASONS: Final[Mapping[str, Callable[[ValidationError], str]]] = (
    MappingProxyType(
        {
            'type': _describe_type,
            'enum': _describe_enum,
            'required': _describe_required,
            'additionalProperties': _describe_unknown,
            'pattern': _describe_pattern,
            'minimum': _describe_limit,
            'maximum': _describe_limit,
            'exclusiveMinimum': _describe_limit,
        }
    )
)
