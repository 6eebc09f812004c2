"""Write refusals and answers as callers expect them."""

from types import MappingProxyType
from typing import Any, Final

from msgspec import json

from monsoonwall.pipeline.answers import Answer, Piece
from monsoonwall.pipeline.messages import Call, Refusal, RefusalReason

SERVICE_UNAVAILABLE: Final = 503
STATUSES: Final = MappingProxyType(
    {
        RefusalReason.bad_request: 400,
        RefusalReason.body_too_large: 413,
        RefusalReason.unauthorized: 401,
        RefusalReason.unknown_route: 404,
        RefusalReason.unknown_request: 404,
        RefusalReason.key_required: 400,
        RefusalReason.key_reused: 422,
        RefusalReason.in_progress: 409,
        RefusalReason.answer_not_kept: 409,
        RefusalReason.workspace_limit: 429,
        RefusalReason.crashing_request: 422,
        RefusalReason.deadline_passed: 504,
        RefusalReason.outcome_unknown: 504,
        RefusalReason.internal: 500,
    }
)


def choose_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return STATUSES.get(refusal.reason, SERVICE_UNAVAILABLE)


def describe_refusal(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the error body of a refusal."""
    return {
        'error': {
            'code': refusal.reason,
            'effect': refusal.effect,
            'message': refusal.detail,
            'retry_after': refusal.retry_after,
            'request_id': request_id,
        }
    }


def format_event(call: Call, piece: Piece) -> bytes:
    """Return the server-sent events of one piece of an answer.

    The event id is the request id and the number of tokens that the caller
    has after it, so that a caller can resume from the last one it saw.
    """
    events = b''
    seen = piece.offset + len(piece.tokens)
    event_id = f'{call.request_id}:{seen}'.encode()
    if piece.tokens or piece.finished:
        body = json.encode(_describe_piece(call, piece))
        events = b'id: %b\ndata: %b\n\n' % (event_id, body)
    if piece.refusal is not None:
        error = json.encode(describe_refusal(piece.refusal, call.request_id))
        events = b'%bid: %b\nevent: error\ndata: %b\n\n' % (
            events,
            event_id,
            error,
        )
    if piece.finished or piece.refusal is not None:
        events = b'%bdata: [DONE]\n\n' % events
    return events


def describe_answer(answer: Answer) -> dict[str, Any]:
    """Return the whole answer as one JSON body."""
    call = answer.call
    text = ''.join(answer.tokens)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    if call.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': call.request_id,
        'object': 'chat.completion' if call.chat else 'text_completion',
        'model': call.route,
        'choices': [choice],
        'usage': {
            'prompt_tokens': answer.prompt_tokens,
            'completion_tokens': len(answer.tokens),
            'prompt_tokens_details': {'cached_tokens': answer.cached_tokens},
        },
    }


def _describe_piece(call: Call, piece: Piece) -> dict[str, Any]:
    text = ''.join(piece.tokens)
    finish = 'stop' if piece.finished else None
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
    if call.chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    kind = 'chat.completion.chunk' if call.chat else 'text_completion'
    return {
        'id': call.request_id,
        'object': kind,
        'model': call.route,
        'choices': [choice],
    }
