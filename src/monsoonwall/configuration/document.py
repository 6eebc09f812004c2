"""Turn a configuration document into the checked model."""

from typing import Any, Final

from msgspec import ValidationError, convert
from returns.result import Failure, Result, Success

from monsoonwall.configuration.model import Configuration
from monsoonwall.findings import Finding

CONFIGURATION_KEY: Final = 'configuration/current'


def check_document(
    document: dict[str, Any], number: int
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration of a document, or every finding."""
    try:
        configuration = convert(
            {**document, 'number': number}, Configuration, strict=False
        )
    except ValidationError as error:
        return Failure((Finding('document', str(error)),))
    findings = (
        *_check_services(configuration),
        *_check_routes(configuration),
        *_check_servers(configuration),
    )
    return Failure(findings) if findings else Success(configuration)


def _check_services(configuration: Configuration) -> list[Finding]:
    return [
        Finding(
            f'services.{name}.active_version',
            f'{service.active_version!r} is not among the versions',
        )
        for name, service in configuration.services.items()
        if service.active_version not in service.versions
    ]


def _check_routes(configuration: Configuration) -> list[Finding]:
    return [
        Finding(f'routes.{name}.service', f'no service {route.service!r}')
        for name, route in configuration.routes.items()
        if route.service not in configuration.services
    ]


def _check_servers(configuration: Configuration) -> list[Finding]:
    return [
        Finding(
            f'backend_servers.{name}.service', f'no service {server.service!r}'
        )
        for name, server in configuration.backend_servers.items()
        if server.service not in configuration.services
    ]
