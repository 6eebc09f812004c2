"""Serve the HTTP endpoints for operators."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from msgspec import Struct, json

from monsoonwall.configuration.outcomes import PatchEnding, PatchOutcome
from monsoonwall.configuration.stored import decode_stored
from monsoonwall.configuration.submission import PatchRequest
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.entry.configuring import ConfigurationTask
from monsoonwall.entry.reporting import ExplainQuery, ReportRegistry
from monsoonwall.entry.web import JsonHandler
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason

_STATUSES: Final[Mapping[PatchEnding, int]] = MappingProxyType(
    {
        PatchEnding.accepted: 200,
        PatchEnding.refused: 409,
        PatchEnding.unavailable: 503,
        PatchEnding.unknown: 504,
    }
)


class _PatchBody(Struct, forbid_unknown_fields=True):
    base: int
    patch_id: str
    patch: list[Any] | dict[str, Any]


class _ConfigurationTaskHandler(JsonHandler):
    def initialize(self, configuring: ConfigurationTask) -> None:
        """Set the objects that the route passes."""
        self._configuring = configuring


class PatchHandler(_ConfigurationTaskHandler):
    """Accept patches of the configuration."""

    async def post(self) -> None:
        """Submit the patch and respond with its outcome."""
        try:
            body = json.decode(self.request.body, type=_PatchBody)
        except DECODE_ERRORS as error:
            self.refuse(
                Refusal(RefusalReason.bad_request, Effect.not_run, str(error))
            )
            return
        outcome = await self._configuring.submit(
            PatchRequest(body.base, body.patch_id, body.patch)
        )
        self.set_status(_STATUSES[outcome.ending])
        self.write_json(self._describe(outcome))

    def _describe(self, outcome: PatchOutcome) -> dict[str, Any]:
        report = self._configuring.describe()
        return {
            'ending': outcome.ending,
            'number': outcome.number,
            'accepted_wall': outcome.accepted_wall,
            'settled_wall': outcome.settled_wall,
            'findings': outcome.findings,
            'hosts': len(report.hosts),
        }


class ConfigurationHandler(_ConfigurationTaskHandler):
    """Return the configuration in force on this host."""

    def get(self) -> None:
        """Respond with the configuration's number and document."""
        content = self._configuring.read_content()
        if content is None:
            self.refuse(
                Refusal(
                    RefusalReason.not_ready,
                    Effect.not_run,
                    'no configuration adopted yet; submit one on base 0',
                )
            )
            return
        stored = decode_stored(content).unwrap()
        self.write_json({'number': stored.number, **stored.document})


class StatusHandler(JsonHandler):
    """Return the status of this host and its view of the others."""

    def initialize(self, reports: ReportRegistry) -> None:
        """Set the objects that the route passes."""
        self._reports = reports

    def get(self) -> None:
        """Respond with the section of every reporter."""
        self.write_json(self._reports.describe_status())


class ExplainHandler(JsonHandler):
    """Explain decisions about a route or a request."""

    def initialize(self, reports: ReportRegistry) -> None:
        """Set the objects that the route passes."""
        self._reports = reports

    def get(self) -> None:
        """Respond with the explainers' sections for the query."""
        arguments = {
            name: self.get_query_argument(name)
            for name in self.request.query_arguments
        }
        query = ExplainQuery(
            arguments.pop('route', ''),
            arguments.pop('workspace', ''),
            arguments.pop('request_id', ''),
            arguments,
        )
        self.write_json(self._reports.explain(query))


def make_admin_routes(
    configuring: ConfigurationTask, reports: ReportRegistry
) -> list[Any]:
    """Return the HTTP routes that the operators' commands call."""
    task_options = {'configuring': configuring}
    return [
        ('/admin/patch', PatchHandler, task_options),
        ('/admin/configuration', ConfigurationHandler, task_options),
        ('/admin/status', StatusHandler, {'reports': reports}),
        ('/admin/explain', ExplainHandler, {'reports': reports}),
    ]
