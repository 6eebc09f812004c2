"""Convert requests and answers to and from messages of entry hosts."""

from monsoonwall.clocks import Clock
from monsoonwall.mesh.wire.answers_pb2 import (
    OWNED,
    AnswerPart,
    Progress,
    RefusalCopy,
    RequestCopy,
)
from monsoonwall.pipeline.answers import Answer, AnswerPiece
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
)


def encode_request(answer: Answer, clock: Clock) -> RequestCopy:
    """Encode an accepted request without the tokens of its answer.

    The deadline is sent as Unix time, since monotonic clocks differ.
    """
    call = answer.call
    remaining = call.deadline - clock.read_monotonic()
    return RequestCopy(
        request_id=call.request_id,
        workspace=call.workspace,
        route=call.route,
        service=call.service,
        priority=int(call.priority),
        deadline_wall=clock.read_wall() + remaining,
        content_key=call.content_key,
        prompt=call.prompt,
        max_tokens=call.max_tokens,
        seed=call.seed,
        chat=call.chat,
        isolated=answer.isolated,
        version=answer.version,
        takeovers=answer.takeovers,
    )


def decode_call(copy: RequestCopy, clock: Clock) -> Call:
    """Decode a request; its deadline is on this host's monotonic clock."""
    remaining = copy.deadline_wall - clock.read_wall()
    return Call(
        request_id=copy.request_id,
        workspace=copy.workspace,
        route=copy.route,
        service=copy.service,
        priority=Priority(copy.priority),
        idempotent=True,
        idempotency_key=None,
        deadline=clock.read_monotonic() + remaining,
        content_key=copy.content_key,
        prompt=copy.prompt,
        max_tokens=copy.max_tokens,
        seed=copy.seed,
        chat=copy.chat,
    )


def encode_progress(answer: Answer, offset: int) -> Progress:
    """Encode an answer's tokens from an offset, and its end if it has ended."""
    return Progress(
        request_id=answer.call.request_id,
        takeovers=answer.takeovers,
        offset=offset,
        tokens=answer.tokens[offset:],
        finished=answer.finished,
        refusal=encode_refusal(answer.refusal),
        prompt_tokens=answer.prompt_tokens,
        cached_tokens=answer.cached_tokens,
        version=answer.version,
    )


def encode_part(piece: AnswerPiece) -> AnswerPart:
    """Encode one piece of an answer for the host that relays it."""
    return AnswerPart(
        standing=OWNED,
        offset=piece.offset,
        tokens=piece.tokens,
        finished=piece.finished,
        refusal=encode_refusal(piece.refusal),
        digest=piece.digest,
        handed_over=piece.handed_over,
        prompt_tokens=piece.prompt_tokens,
        cached_tokens=piece.cached_tokens,
    )


def decode_piece(part: AnswerPart) -> AnswerPiece:
    """Decode a piece of an answer that another host sent."""
    return AnswerPiece(
        part.offset,
        tuple(part.tokens),
        part.finished,
        decode_refusal(part),
        part.digest,
        part.handed_over,
        part.prompt_tokens,
        part.cached_tokens,
    )


def encode_refusal(refusal: Refusal | None) -> RefusalCopy | None:
    """Encode a refusal; return None for None."""
    if refusal is None:
        return None
    return RefusalCopy(
        reason=refusal.reason,
        effect=refusal.effect,
        detail=refusal.detail,
        retry_after=refusal.retry_after or 0,
    )


def decode_refusal(message: Progress | AnswerPart) -> Refusal | None:
    """Decode the refusal in a message; return None if it has none."""
    if not message.HasField('refusal'):
        return None
    sent = message.refusal
    return Refusal(
        RefusalReason(sent.reason),
        Effect(sent.effect),
        sent.detail,
        sent.retry_after or None,
    )
