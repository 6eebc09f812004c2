"""Hold what one entry host has in force, for its tasks to read."""

from dataclasses import dataclass, field

from monsoonwall.configuration.model import Configuration
from monsoonwall.pipeline.answers import AnswerTable
from monsoonwall.pipeline.dispatch import Dispatcher
from monsoonwall.pipeline.request_parsing import RequestParser
from monsoonwall.pipeline.stages import Admission, Screening


@dataclass(frozen=True)
class RequestPipeline:
    """Hold the request path built for one configuration."""

    configuration: Configuration
    parser: RequestParser
    admission: Admission
    screening: Screening
    dispatcher: Dispatcher


@dataclass
class HostState:
    """Hold the one mutable reference that adopting a configuration swaps."""

    pipeline: RequestPipeline | None = None
    leaving: bool = False
    answers: AnswerTable = field(default_factory=AnswerTable)

    def find_dispatcher(self) -> Dispatcher | None:
        """Return the dispatcher in force, None before the first one."""
        return self.pipeline.dispatcher if self.pipeline else None
