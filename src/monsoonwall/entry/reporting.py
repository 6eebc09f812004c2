"""Collect what the parts of a host tell operators.

Each part adds a named reporter or explainer; `status` shows the sections of
the former, `explain` asks the latter about one call.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from msgspec import json

from monsoonwall.logs import make_logger

_log = make_logger('reporting')

# Returns data classes, or what JSON can hold.
Reporter = Callable[[], Any]


@dataclass(frozen=True)
class ExplainQuery:
    """Ask where a call of a route goes, or what became of a request.

    ``parameters`` holds what else the operator gave, by name.
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
        """Add a section to the status; the last one of a name stands."""
        self._reporters[section] = reporter

    def add_explainer(self, section: str, explainer: Explainer) -> None:
        """Add a section to explanations; the last one of a name stands."""
        self._explainers[section] = explainer

    def describe_status(self) -> dict[str, Any]:
        """Return every section, in the order they were added."""
        return {
            section: _build_section(section, reporter)
            for section, reporter in self._reporters.items()
        }

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return every part's answer that is not None."""
        answers = {
            section: _build_section(section, partial(explainer, query))
            for section, explainer in self._explainers.items()
        }
        return {
            section: answer
            for section, answer in answers.items()
            if answer is not None
        }


def _build_section(section: str, reporter: Reporter) -> Any:
    try:
        return json.decode(json.encode(reporter()))
    except Exception as error:
        # One part's defect must not hide what the others tell.
        _log.opt(exception=error).error('Section failed.', section=section)
        return {'error': 'see the log of this host'}
