"""Store copies of the requests that other entry hosts run."""

from dataclasses import dataclass, field
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.copies import ReplicatedText
from monsoonwall.mesh.wire.answers_pb2 import Progress, RequestCopy
from monsoonwall.pipeline.answers import Answer
from monsoonwall.streams.codec import decode_call, decode_refusal

# How long an ended answer is kept for a caller that lost its connection.
_ENDED_TTL_SECONDS: Final = 20.0


@dataclass
class HeldCopy:
    """Hold a copy of a request and the progress of its answer."""

    copy: RequestCopy
    owner: str
    expires_at: float
    text: ReplicatedText = field(default_factory=ReplicatedText)
    last_progress: Progress | None = None


class CopyStore:
    """Store request copies until they expire or this host takes over."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._copies: dict[str, HeldCopy] = {}

    def __len__(self) -> int:
        """Return the number of copies."""
        return len(self._copies)

    def add(self, owner: str, copy: RequestCopy) -> None:
        """Store a copy, unless the stored one has as many takeovers or more."""
        existing = self._copies.get(copy.request_id)
        if existing and existing.copy.takeovers >= copy.takeovers:
            return
        remaining = copy.deadline_wall - self._clock.read_wall()
        expires_at = self._clock.read_monotonic() + remaining
        self._copies[copy.request_id] = HeldCopy(
            copy,
            owner,
            expires_at + _ENDED_TTL_SECONDS,
            ReplicatedText(copy.takeovers),
        )

    def apply_progress(self, progress: Progress) -> bool:
        """Apply progress; return False if the whole copy is needed again."""
        held_copy = self._copies.get(progress.request_id)
        if held_copy is None:
            return False
        if not held_copy.text.advance(
            progress.takeovers, progress.offset, progress.tokens
        ):
            # Progress from a former owner is ignored; no new copy is needed.
            return progress.takeovers < held_copy.text.takeovers
        progress.ClearField('tokens')
        held_copy.last_progress = progress
        held_copy.copy.version = progress.version
        if progress.finished or progress.HasField('refusal'):
            now = self._clock.read_monotonic()
            held_copy.expires_at = now + _ENDED_TTL_SECONDS
        return True

    def find(self, request_id: str) -> HeldCopy | None:
        """Return the copy of a request, if it is stored."""
        return self._copies.get(request_id)

    def pop_answer(self, request_id: str) -> Answer | None:
        """Remove a copy and return its answer, to be continued on this host."""
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
            _restore_progress(answer, held_copy.last_progress)
        return answer

    def drop_expired(self) -> None:
        """Drop expired copies."""
        now = self._clock.read_monotonic()
        expired = [
            request_id
            for request_id, held_copy in self._copies.items()
            if held_copy.expires_at <= now
        ]
        for request_id in expired:
            self._copies.pop(request_id)


def _restore_progress(answer: Answer, last_progress: Progress) -> None:
    answer.prompt_tokens = last_progress.prompt_tokens
    answer.cached_tokens = last_progress.cached_tokens
    refusal = decode_refusal(last_progress)
    if last_progress.finished:
        answer.finish()
    elif refusal is not None:
        answer.refuse(refusal)
