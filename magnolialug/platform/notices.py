"""Headers in which an endpoint says something of itself, decoded once."""

import re

from magnolialug.entry.forwardcall import HeaderList
from magnolialug.ids import EndpointId
from magnolialug.policy.endpointnotice import EndpointNotices
from magnolialug.result import Code, Failure, failed

__all__ = ["read_notices"]

_SEND_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_INSTANCE = b"x-instance-id"
_STAMP = b"x-response-stamp"
_MISDIRECTED = 421
_REST_STATUSES = (429, 503)
# A longer period is taken for a malformed one: no other answer could end it.
_MAX_REST_S = 3600.0
# A decimal number without sign or exponent.
_DECIMAL = re.compile(rb"[0-9]{1,30}(\.[0-9]{1,30})?")
_VALUE_SHOWN = 80


def read_notices(
    status: int, headers: HeaderList, endpoint: EndpointId | None = None
) -> EndpointNotices:
    """Returns what the head of an answer says of an endpoint.

    It says nothing if another endpoint made it, which has the address now.

    Args:
      headers: names in lower case.
      endpoint: the endpoint that the request was sent to, None for a store,
        which has no id.
    """
    if endpoint is not None and not _is_of(endpoint, status, headers):
        return EndpointNotices()
    return EndpointNotices(
        send_limit=_send_limit(headers),
        leaving=_leaving(headers),
        rest_s=_rest_s(headers) if status in _REST_STATUSES else None,
        executed=bool(_values(headers, _STAMP)),
    )


def _is_of(endpoint: EndpointId, status: int, headers: HeaderList) -> bool:
    """Whether an endpoint made an answer; a 421 must name it."""
    instances = _values(headers, _INSTANCE)
    if not instances:
        return status != _MISDIRECTED
    return all(name == endpoint.encode("latin-1") for name in instances)


def _values(headers: HeaderList, name: bytes) -> list[bytes]:
    return [value.strip() for key, value in headers if key == name]


def _send_limit(headers: HeaderList) -> float | Failure | None:
    """Returns the limit that an answer names, or why it cannot be read."""
    found = _values(headers, _SEND_LIMIT)
    if not found:
        return None
    text = b",".join(found)
    if _DECIMAL.fullmatch(text):
        return float(text)
    reason = "must be a decimal number"
    return _malformed(Code.BAD_SEND_LIMIT, reason, _SEND_LIMIT, text)


def _leaving(headers: HeaderList) -> bool | Failure:
    found = _values(headers, _LEAVING)
    if not found:
        return False
    text = b",".join(found)
    if text == b"1":
        return True
    return _malformed(Code.BAD_LEAVING, "must be 1", _LEAVING, text)


def _rest_s(headers: HeaderList) -> float | Failure | None:
    found = _values(headers, _RETRY_AFTER)
    if not found:
        return None
    text = b",".join(found)
    if _DECIMAL.fullmatch(text) and float(text) <= _MAX_REST_S:
        return float(text)
    reason = f"must be a decimal number of seconds, {_MAX_REST_S:g} at most"
    return _malformed(Code.BAD_REST, reason, _RETRY_AFTER, text)


def _malformed(code: Code, reason: str, name: bytes, text: bytes) -> Failure:
    shown = text.decode("latin-1")[:_VALUE_SHOWN]
    return failed(code, reason, name.decode(), shown)
