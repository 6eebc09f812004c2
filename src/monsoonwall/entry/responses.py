"""Encode answers and refusals in the format of the HTTP API."""

from types import MappingProxyType
from typing import Any, Final

from msgspec import json

from monsoonwall.pipeline.answers import AnswerPiece, ReadPosition
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
        RefusalReason.answer_diverged: 409,
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


def format_event(call: Call, piece: AnswerPiece) -> bytes:
    """Return the server-sent events of one piece of an answer.

    An event id consists of the request id, the number of tokens up to and
    including the event, and a hash of their text. With the last id that it
    received, a caller can resume the answer, and gets a refusal if the answer
    has continued differently.
    """
    events = b''
    token_count = piece.offset + len(piece.tokens)
    event_id = f'{call.request_id}:{token_count}:{piece.digest}'.encode()
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
    if piece.handed_over:
        target = json.encode({'resume': f'/v1/requests/{call.request_id}'})
        return b'%bevent: handed_over\ndata: %b\n\n' % (events, target)
    if piece.finished or piece.refusal is not None:
        events = b'%bdata: [DONE]\n\n' % events
    return events


def make_resume_path(call: Call) -> str:
    """Return the path at which any entry host sends the whole answer."""
    return f'/v1/requests/{call.request_id}?whole=true'


def describe_answer(
    call: Call, tokens: list[str], last: AnswerPiece
) -> dict[str, Any]:
    """Return the JSON body of a whole answer.

    ``last`` is its last piece, which holds the token counts of the prompt.
    """
    text = ''.join(tokens)
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
            'prompt_tokens': last.prompt_tokens,
            'completion_tokens': len(tokens),
            'prompt_tokens_details': {'cached_tokens': last.cached_tokens},
        },
    }


def parse_event_id(event_id: str) -> ReadPosition:
    """Return the position in an event id, or the start if it is invalid."""
    fields = event_id.split(':')
    offset = fields[1] if len(fields) > 1 else ''
    if not offset.isdecimal():
        return ReadPosition()
    return ReadPosition(int(offset), fields[2] if len(fields) > 2 else '')


def _describe_piece(call: Call, piece: AnswerPiece) -> dict[str, Any]:
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
