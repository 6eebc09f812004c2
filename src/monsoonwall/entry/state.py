"""Hold the state of an entry host that its tasks share."""

from dataclasses import dataclass, field

from monsoonwall.configuration.model import Configuration
from monsoonwall.pipeline.answers import AnswerTable
from monsoonwall.pipeline.dispatch import Dispatcher
from monsoonwall.pipeline.request_parsing import RequestParser
from monsoonwall.pipeline.stages import Admission, Screening


@dataclass(frozen=True)
class RequestPipeline:
    """Hold the stages that process requests under one configuration."""

    configuration: Configuration
    parser: RequestParser
    admission: Admission
    screening: Screening
    dispatcher: Dispatcher


@dataclass
class HostState:
    """Hold the current pipeline and the state that outlives it.

    Adopting a configuration replaces ``pipeline``, which is None before the
    first one.
    """

    pipeline: RequestPipeline | None = None
    leaving: bool = False
    answers: AnswerTable = field(default_factory=AnswerTable)

    def find_dispatcher(self) -> Dispatcher | None:
        """Return the current dispatcher, None before a configuration."""
        return self.pipeline.dispatcher if self.pipeline else None
