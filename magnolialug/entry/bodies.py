"""Parses request bodies; each error names the field and its value."""

import re
from typing import Any

import msgspec

from magnolialug.result import Code, Failure, failed

__all__ = [
    "ChatBody",
    "CompletionBody",
    "StreamOptions",
    "read_chat",
    "read_completion",
    "read_json",
    "sampling_options",
]

_FIELD_PATH = re.compile(r" - at `\$\.?(.*)`$")
_MISSING_FIELD = re.compile(r"required field `(\w+)`")
_SAMPLING_OPTIONS = (
    "temperature",
    "top_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
)


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class _Common(msgspec.Struct, kw_only=True):
    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: int | None = 1
    prompt_cache_key: str | None = None
    metadata: dict[str, str] | None = None


class CompletionBody(_Common, kw_only=True):
    """The body of a completion request."""

    prompt: str


class _Part(msgspec.Struct):
    type: str
    text: str


class _Message(msgspec.Struct):
    role: str
    content: str | list[_Part]


class ChatBody(_Common, kw_only=True):
    """The body of a chat completion request."""

    messages: list[_Message]

    @property
    def prompt(self) -> str:
        """The messages as one prompt.

        Further messages are appended, so a longer chat has the prompt of
        the shorter one as its prefix.
        """
        return "".join(
            f"<{message.role}>\n{_text(message.content)}\n"
            for message in self.messages
        )


def _text(content: str | list[_Part]) -> str:
    if isinstance(content, str):
        return content
    return "".join(part.text for part in content)


def read_completion(data: bytes) -> CompletionBody | Failure:
    """Returns the validated completion body, or the validation failure."""
    return _parse_body(data, CompletionBody)


def read_chat(data: bytes) -> ChatBody | Failure:
    """Returns the validated chat body, or the validation failure."""
    return _parse_body(data, ChatBody)


def read_json(data: bytes) -> str | Failure:
    """Returns the body of a plain service's request.

    The body must be a JSON object.
    """
    value = _object(data)
    return value if isinstance(value, Failure) else data.decode()


def sampling_options(data: bytes) -> str:
    """Returns the sampling options that a body sets, as a JSON object."""
    value = msgspec.json.decode(data)
    options = {name: value[name] for name in _SAMPLING_OPTIONS if name in value}
    return msgspec.json.encode(options).decode()


def _object(data: bytes) -> dict | Failure:
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return failed(Code.MALFORMED_JSON, str(exc), "(body)")
    if not isinstance(value, dict):
        return failed(Code.MALFORMED_JSON, "not an object", "(body)", value)
    return value


def _parse_body(data: bytes, body_type: type) -> Any | Failure:
    value = _object(data)
    if isinstance(value, Failure):
        return value
    try:
        body = msgspec.convert(value, body_type)
    except msgspec.ValidationError as exc:
        return _validation_failure(str(exc), value)
    return _check_limits(body) or body


def _check_limits(body: _Common) -> Failure | None:
    if body.n not in (None, 1):
        return failed(Code.UNKNOWN_FIELD_VALUE, "only 1 is served", "n", body.n)
    for name in ("max_tokens", "max_completion_tokens"):
        value = getattr(body, name)
        if value is not None and value < 1:
            return failed(
                Code.UNKNOWN_FIELD_VALUE, "must be at least 1", name, value
            )
    return None


def _validation_failure(text: str, value: dict) -> Failure:
    missing = _MISSING_FIELD.search(text)
    if missing:
        return failed(Code.MISSING_FIELD, text, missing.group(1))
    found = _FIELD_PATH.search(text)
    field = found.group(1) if found else "(body)"
    return failed(
        Code.WRONG_TYPE, text, field, value.get(field.split(".")[0], "")
    )
