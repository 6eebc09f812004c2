"""Check the references between the sections of a configuration."""

from collections.abc import Iterable, Iterator
from itertools import chain

from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    Route,
    ServiceKind,
)
from monsoonwall.configuration.plans import (
    check_moves,
    check_overlaps,
    report_unknown_service,
    report_unknown_version,
)
from monsoonwall.configuration.schema import make_place
from monsoonwall.findings import Finding
from monsoonwall.settings import check_address


def find_reference_faults(configuration: Configuration) -> tuple[Finding, ...]:
    """Return a finding for each inconsistency within a configuration."""
    checks = (
        _check_services,
        _check_routes,
        _check_prefixes,
        _check_workspaces,
        _check_servers,
        _check_addresses,
        check_moves,
        check_overlaps,
    )
    return tuple(chain.from_iterable(check(configuration) for check in checks))


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    served = {
        (server.service, server.version)
        for server in configuration.backend_servers.values()
    }
    for name, service in configuration.services.items():
        place = make_place('services', name, 'active_version')
        version = service.active_version
        if version not in service.versions:
            yield report_unknown_version(place, service, version)
        elif (name, version) not in served:
            yield Finding(
                place,
                f'no backend server runs {version!r}; '
                'declare one, or activate a version that is served',
            )


def _check_routes(configuration: Configuration) -> Iterator[Finding]:
    for name, route in configuration.routes.items():
        service = configuration.services.get(route.service)
        place = make_place('routes', name)
        if service is None:
            yield report_unknown_service(place, configuration, route.service)
        elif service.kind is ServiceKind.model:
            yield from _check_model_route(place, route)
        elif not route.path_prefix:
            yield Finding(
                f'{place}/path_prefix',
                "a plain service's route needs one, such as '/stock'",
            )


def _check_prefixes(configuration: Configuration) -> Iterator[Finding]:
    for name in _find_repeated(
        (name, f'{route.service} {route.method} {route.path_prefix}')
        for name, route in configuration.routes.items()
        if route.path_prefix
    ):
        yield Finding(
            make_place('routes', name, 'path_prefix'),
            'another route has the same service, method and prefix',
        )


def _check_model_route(place: str, route: Route) -> Iterator[Finding]:
    if not route.idempotent:
        yield Finding(
            f'{place}/idempotent', 'calls of a model service are idempotent'
        )
    if route.path_prefix:
        yield Finding(
            f'{place}/path_prefix', 'only for plain services; remove it'
        )


def _check_workspaces(configuration: Configuration) -> Iterator[Finding]:
    for name in _find_repeated(
        (name, workspace.api_key_sha256)
        for name, workspace in configuration.workspaces.items()
    ):
        yield Finding(
            make_place('workspaces', name, 'api_key_sha256'),
            'another workspace has the same key; give each its own',
        )


def _check_servers(configuration: Configuration) -> Iterator[Finding]:
    services = configuration.services
    for name, server in configuration.backend_servers.items():
        service = services.get(server.service)
        faults = check_address('address', server.address)
        if (
            service is None
            or server.version not in service.versions
            or not server.address
            or faults
        ):
            # Findings with their places are built for faulty servers only:
            # there are many servers, and every host checks all of them at
            # each change.
            yield from _report_server(configuration, name, server)


def _report_server(
    configuration: Configuration, name: str, server: BackendServer
) -> Iterator[Finding]:
    place = make_place('backend_servers', name)
    service = configuration.services.get(server.service)
    if service is None:
        yield report_unknown_service(place, configuration, server.service)
    elif server.version not in service.versions:
        yield report_unknown_version(
            f'{place}/version', service, server.version
        )
    if not server.address:
        yield Finding(f'{place}/address', 'is empty; write host:port')
    yield from check_address(f'{place}/address', server.address)


def _check_addresses(configuration: Configuration) -> Iterator[Finding]:
    for name in _find_repeated(
        (name, server.address)
        for name, server in configuration.backend_servers.items()
    ):
        yield Finding(
            make_place('backend_servers', name, 'address'),
            'another backend server has the same address',
        )


def _find_repeated(identities: Iterable[tuple[str, str]]) -> Iterator[str]:
    """Yield the names whose identity occurred before."""
    seen: set[str] = set()
    for name, identity in identities:
        if identity in seen:
            yield name
        seen.add(identity)
