"""Hold the copies of other entry hosts' requests."""

from dataclasses import dataclass, field
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.copies import HeldText
from monsoonwall.mesh.wire.answers_pb2 import Progress, RequestCopy
from monsoonwall.pipeline.answers import Answer
from monsoonwall.streams.codec import decode_call, decode_refusal

# An ended answer waits this long for a caller whose connection broke.
_ENDED_TTL_SECONDS: Final = 20.0


@dataclass
class HeldCopy:
    """Hold one copy and its owner's progress."""

    copy: RequestCopy
    owner: str
    expires_at: float
    text: HeldText = field(default_factory=HeldText)
    last_progress: Progress | None = None


class CopyStore:
    """Keep copies until their answers are of no use any more."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._copies: dict[str, HeldCopy] = {}

    def __len__(self) -> int:
        """Count the copies."""
        return len(self._copies)

    def add(self, owner: str, copy: RequestCopy) -> None:
        """Keep a copy, unless a later owner's is here."""
        existing = self._copies.get(copy.request_id)
        if existing and existing.copy.takeovers >= copy.takeovers:
            return
        remaining = copy.deadline_wall - self._clock.read_wall()
        expires_at = self._clock.read_monotonic() + remaining
        self._copies[copy.request_id] = HeldCopy(
            copy,
            owner,
            expires_at + _ENDED_TTL_SECONDS,
            HeldText(copy.takeovers),
        )

    def apply_progress(self, progress: Progress) -> bool:
        """Add progress; return False if the whole copy is needed again."""
        held_copy = self._copies.get(progress.request_id)
        if held_copy is None:
            return False
        if not held_copy.text.advance(
            progress.takeovers, progress.offset, progress.tokens
        ):
            # A former owner's progress needs no second copy.
            return progress.takeovers < held_copy.text.takeovers
        progress.ClearField('tokens')
        held_copy.last_progress = progress
        held_copy.copy.version = progress.version
        if progress.finished or progress.HasField('refusal'):
            now = self._clock.read_monotonic()
            held_copy.expires_at = now + _ENDED_TTL_SECONDS
        return True

    def find(self, request_id: str) -> HeldCopy | None:
        """Return a copy that is here."""
        return self._copies.get(request_id)

    def pop_answer(self, request_id: str) -> Answer | None:
        """Turn a copy into the answer that this host goes on with."""
        held_copy = self._copies.pop(request_id, None)
        if held_copy is None:
            return None
        answer = Answer(
            decode_call(held_copy.copy, self._clock),
            held_copy.copy.version,
            held_copy.copy.isolated,
            held_copy.copy.takeovers + 1,
            tuple(held_copy.text.tokens),
        )
        if held_copy.last_progress is not None:
            _restore_ending(answer, held_copy.last_progress)
        return answer

    def drop_expired(self) -> None:
        """Drop the copies that nobody will ask for."""
        now = self._clock.read_monotonic()
        expired = [
            request_id
            for request_id, held_copy in self._copies.items()
            if held_copy.expires_at <= now
        ]
        for request_id in expired:
            self._copies.pop(request_id)


def _restore_ending(answer: Answer, last_progress: Progress) -> None:
    answer.prompt_tokens = last_progress.prompt_tokens
    answer.cached_tokens = last_progress.cached_tokens
    refusal = decode_refusal(last_progress)
    if last_progress.finished:
        answer.finish()
    elif refusal is not None:
        answer.refuse(refusal)
