"""JSON formats of responses, as callers' client libraries expect them."""

from collections.abc import Callable

import msgspec

from magnolialug.result import CODES, Failure
from magnolialug.wire.messages import Done

__all__ = [
    "CHAT",
    "COMPLETION",
    "PLAIN",
    "ResponseFormat",
    "error_body",
    "usage_of",
]


class ResponseFormat(msgspec.Struct, frozen=True):
    """The response format of one API.

    Attributes:
      chunk: returns a streamed event for id, time, model, text and finish
        reason.
      whole: returns a complete response for id, time, model, text, finish
        reason and usage.
    """

    chunk: Callable[..., dict]
    whole: Callable[..., dict | str]


def usage_of(done: Done | None) -> dict:
    """Returns the usage object of a response, all zeros without `done`."""
    if done is None:
        return {"prompt_tokens": 0, "completion_tokens": 0, "total_tokens": 0}
    return {
        "prompt_tokens": done.prompt_tokens,
        "completion_tokens": done.last_seq,
        "total_tokens": done.prompt_tokens + done.last_seq,
        "prompt_tokens_details": {
            "cached_tokens": done.prompt_tokens - done.recomputed_tokens,
            "imported_tokens": done.imported_tokens,
        },
    }


def error_body(failure: Failure) -> dict:
    """Returns the error object for a failure."""
    status = CODES[failure.code].status
    return {
        "error": {
            "message": failure.reason,
            "type": "invalid_request_error" if status < 500 else "api_error",
            "param": failure.field or None,
            "value": failure.value or None,
            "code": failure.code.value,
            "name": failure.code.name.lower(),
            "executed": failure.executed.value,
        }
    }


def _head(kind: str, response_id: str, created: int, model: str) -> dict:
    return {
        "id": response_id,
        "object": kind,
        "created": created,
        "model": model,
    }


def _chat_chunk(response_id, created, model, text, finish) -> dict:
    delta = {"role": "assistant", "content": text} if text else {}
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    head = _head("chat.completion.chunk", response_id, created, model)
    return {**head, "choices": [choice]}


def _chat_whole(response_id, created, model, text, finish, usage) -> dict:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": finish}
    head = _head("chat.completion", response_id, created, model)
    return {**head, "choices": [choice], "usage": usage}


def _chunk(response_id, created, model, text, finish) -> dict:
    choice = {"index": 0, "text": text, "finish_reason": finish}
    head = _head("text_completion", response_id, created, model)
    return {**head, "choices": [choice]}


def _whole(response_id, created, model, text, finish, usage) -> dict:
    body = _chunk(response_id, created, model, text, finish)
    return {**body, "usage": usage}


def _plain_chunk(response_id, created, model, text, finish) -> dict:
    return {"id": response_id, "text": text, "finish_reason": finish}


def _plain_whole(response_id, created, model, text, finish, usage) -> str:
    return text


CHAT = ResponseFormat(_chat_chunk, _chat_whole)
COMPLETION = ResponseFormat(_chunk, _whole)
PLAIN = ResponseFormat(_plain_chunk, _plain_whole)
