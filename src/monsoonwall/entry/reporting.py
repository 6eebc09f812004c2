"""Collect reports for operators from the components of a host.

Components add named reporters and explainers. The command `status` shows one
section per reporter; `explain` passes a query to every explainer.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from msgspec import json

from monsoonwall.logs import make_logger

_log = make_logger('reporting')

# Returns data classes or other values that can be encoded as JSON.
Reporter = Callable[[], Any]


@dataclass(frozen=True)
class ExplainQuery:
    """Name the route or the request that an operator asks about.

    ``parameters`` holds the other query parameters by name.
    """

    route: str
    workspace: str
    request_id: str
    parameters: Mapping[str, str]


Explainer = Callable[[ExplainQuery], Any]


class ReportRegistry:
    """Hold the reporters and explainers of one host by name."""

    def __init__(self) -> None:
        self._reporters: dict[str, Reporter] = {}
        self._explainers: dict[str, Explainer] = {}

    def add_reporter(self, section: str, reporter: Reporter) -> None:
        """Add a section to the status, replacing one of the same name."""
        self._reporters[section] = reporter

    def add_explainer(self, section: str, explainer: Explainer) -> None:
        """Add a section to explanations, replacing one of the same name."""
        self._explainers[section] = explainer

    def describe_status(self) -> dict[str, Any]:
        """Return every reporter's section, in the order of their addition."""
        return {
            section: _build_section(section, reporter)
            for section, reporter in self._reporters.items()
        }

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return the sections of all explainers that do not return None."""
        explanations = {
            section: _build_section(section, partial(explainer, query))
            for section, explainer in self._explainers.items()
        }
        return {
            section: explanation
            for section, explanation in explanations.items()
            if explanation is not None
        }


def _build_section(section: str, reporter: Reporter) -> Any:
    try:
        return json.decode(json.encode(reporter()))
    except Exception as error:
        # An error in one section must not hide the other sections.
        _log.opt(exception=error).error(
            'Report section failed.', section=section
        )
        return {'error': 'see the log of this host'}
