"""Hold the copies of other entry hosts' requests."""

from dataclasses import dataclass, field
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.copies import HeldText
from monsoonwall.mesh.wire.answers_pb2 import Progress, RequestCopy
from monsoonwall.pipeline.answers import Answer
from monsoonwall.streams.codec import decode_call, decode_refusal

# An ended answer waits this long for a caller whose connection broke.
_KEEP_ENDED_SECONDS: Final = 20.0


@dataclass
class Holding:
    """Hold one copy and its owner's progress."""

    copy: RequestCopy
    owner: str
    expires: float
    text: HeldText = field(default_factory=HeldText)
    last: Progress | None = None


class Holdings:
    """Keep copies until their answers are of no use any more."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holdings: dict[str, Holding] = {}

    def __len__(self) -> int:
        """Count the copies."""
        return len(self._holdings)

    def keep(self, owner: str, copy: RequestCopy) -> None:
        """Keep a copy, unless a later owner's is here."""
        known = self._holdings.get(copy.request_id)
        if known and known.copy.takeovers >= copy.takeovers:
            return
        remaining = copy.deadline_wall - self._clock.read_wall()
        expires = self._clock.read_monotonic() + remaining
        self._holdings[copy.request_id] = Holding(
            copy,
            owner,
            expires + _KEEP_ENDED_SECONDS,
            HeldText(copy.takeovers),
        )

    def advance(self, progress: Progress) -> bool:
        """Add progress; return False if the whole copy is needed again."""
        holding = self._holdings.get(progress.request_id)
        if holding is None:
            return False
        if not holding.text.advance(
            progress.takeovers, progress.offset, progress.tokens
        ):
            # A former owner's progress needs no second copy.
            return progress.takeovers < holding.text.takeovers
        progress.ClearField('tokens')
        holding.last = progress
        holding.copy.version = progress.version
        if progress.finished or progress.HasField('refusal'):
            now = self._clock.read_monotonic()
            holding.expires = now + _KEEP_ENDED_SECONDS
        return True

    def find(self, request_id: str) -> Holding | None:
        """Return a copy that is here."""
        return self._holdings.get(request_id)

    def release(self, request_id: str) -> Answer | None:
        """Turn a copy into the answer that this host goes on with."""
        holding = self._holdings.pop(request_id, None)
        if holding is None:
            return None
        answer = Answer(
            decode_call(holding.copy, self._clock),
            holding.copy.version,
            holding.copy.isolated,
            holding.copy.takeovers + 1,
            tuple(holding.text.tokens),
        )
        if holding.last is not None:
            _apply_last(answer, holding.last)
        return answer

    def drop_expired(self) -> None:
        """Drop the copies that nobody will ask for."""
        now = self._clock.read_monotonic()
        expired = [
            request_id
            for request_id, holding in self._holdings.items()
            if holding.expires <= now
        ]
        for request_id in expired:
            self._holdings.pop(request_id)


def _apply_last(answer: Answer, last: Progress) -> None:
    answer.prompt_tokens = last.prompt_tokens
    answer.cached_tokens = last.cached_tokens
    refusal = decode_refusal(last)
    if last.finished:
        answer.finish()
    elif refusal is not None:
        answer.refuse(refusal)
