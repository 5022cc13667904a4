"""The request that a preview is asked about."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec
from twisted.web.http_headers import Headers

from magnolialug.entry.requestbody import RequestBody
from magnolialug.ids import EndpointId, RequestDigest
from magnolialug.policy.routes import RouteTable
from magnolialug.result import Code, Failure, failed

__all__ = ["CallerRequest", "PreviewRequest", "as_caller", "read_preview"]

_MAX_DIGITS = 12
_LAST_PRIORITY = 9


class PreviewRequest(msgspec.Struct, frozen=True):
    """A request as an operator describes it.

    Attributes:
      host: together with the path, or the route's name instead of both.
      team: its name, "" for a caller without a key.
      model: of a prompt, "" if the request carries none.
      input: prompt tokens.
      output: the upper bound on the answer's tokens.
      hint: the caller's estimate of the answer's tokens, 0 for none.
      parts: `NAME:TOKENS,...` in the prompt's order, as callers name them.
      priority: 0 is the most urgent, None for that of its team and route.
      avoid: endpoints that are left out.
      request: its id, by which split routes and plain services choose.
      digest: of its path and body, "" if not known.
    """

    host: str = ""
    path: str = ""
    route: str = ""
    team: str = ""
    model: str = ""
    input: int = 0
    output: int = 0
    hint: int = 0
    parts: str = ""
    priority: int | None = None
    avoid: frozenset[EndpointId] = frozenset()
    request: str = "preview"
    digest: RequestDigest = RequestDigest("")


class CallerRequest(msgspec.Struct, frozen=True):
    """The same request as its caller would send it, for the intake."""

    method: bytes
    uri: bytes
    requestHeaders: Headers  # noqa: N815 - the name that the intake reads
    admitted: None = None

    def body(self) -> RequestBody:
        """Returns its body, which a preview does not have."""
        return RequestBody()


def read_preview(
    params: Mapping[bytes, Sequence[bytes]],
) -> PreviewRequest | Failure:
    """Returns the request that query parameters describe, or what is wrong."""
    found: dict[str, Any] = {}
    for raw, values in params.items():
        name = raw.decode("latin-1")
        if name not in _READERS:
            known = ", ".join(_READERS)
            return _bad(name, values[0], f"must be one of: {known}")
        if len(values) != 1:
            return _bad(name, values[-1], "must be given once")
        if not values[0].isascii() or not values[0].decode().isprintable():
            return _bad(name, values[0], "must be printable ASCII")
        value = _READERS[name](name, values[0].decode())
        if isinstance(value, Failure):
            return value
        found[name] = value
    request = PreviewRequest(**found)
    return _contradiction(request) or request


def as_caller(
    request: PreviewRequest, table: RouteTable
) -> CallerRequest | Failure:
    """Returns a request as its caller would send it, with its team's key."""
    host, path = request.host, request.path
    if request.route:
        route = table.by_name.get(request.route)
        if route is None:
            return failed(
                Code.UNKNOWN_PATH,
                "no route has this name",
                "route",
                request.route,
            )
        host, path = route.host, route.prefix
    headers = {
        "host": host,
        "x-request-id": request.request,
        **_prompt_headers(request),
    }
    if request.team:
        key = _key_of(request.team, table)
        if key is None:
            return failed(
                Code.UNKNOWN_TEAM,
                "no team with a key has this name",
                "team",
                request.team,
            )
        headers["authorization"] = f"Token {key}"
    raw = Headers({name: [value] for name, value in headers.items()})
    return CallerRequest(b"POST", path.encode(), raw)


def _prompt_headers(request: PreviewRequest) -> dict[str, str]:
    if not request.model:
        return {}
    headers = {
        "x-model-name": request.model,
        "x-token-counts": f"{request.input},{request.output}",
    }
    if request.parts:
        headers["x-prompt-prefix"] = request.parts
    if request.hint:
        headers["x-length-hint"] = str(request.hint)
    return headers


def _key_of(name: str, table: RouteTable) -> str | None:
    keys = (
        key
        for team in table.routing.teams
        if team.name == name
        for key in team.keys
    )
    return next(keys, None)


def _contradiction(request: PreviewRequest) -> Failure | None:
    """Returns what is missing in a request or does not fit together."""
    if request.route and (request.host or request.path):
        return _bad("route", request.route, "must stand without host and path")
    if not request.route and not request.host:
        return _bad("host", "", "required, with path, where route is not given")
    if not request.route and not request.path.startswith("/"):
        return _bad("path", request.path, "must start with /")
    if not request.model:
        for name in ("input", "output", "hint", "parts"):
            if getattr(request, name):
                return _bad(name, getattr(request, name), "needs model")
        return None
    if not request.input:
        return _bad("input", request.input, "required with model, above 0")
    total = sum(int(row.rpartition(":")[2]) for row in _rows(request.parts))
    if total > request.input:
        return _bad("parts", request.parts, f"{total} tokens exceed input")
    return None


def _read_text(name: str, text: str) -> str | Failure:
    return text or _bad(name, text, "must not be empty")


def _read_number(name: str, text: str) -> int | Failure:
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return _bad(name, text, "must be a whole number")
    return int(text)


def _read_priority(name: str, text: str) -> int | Failure:
    number = _read_number(name, text)
    if isinstance(number, int) and number > _LAST_PRIORITY:
        return _bad(name, text, f"must be 0 to {_LAST_PRIORITY}")
    return number


def _read_parts(name: str, text: str) -> str | Failure:
    for row in _rows(text):
        part, _, tokens = row.rpartition(":")
        if not part.strip() or isinstance(_read_number(name, tokens), Failure):
            return _bad(name, row, "must be NAME:TOKENS,...")
    return text


def _read_avoid(name: str, text: str) -> frozenset[EndpointId] | Failure:
    found = frozenset(EndpointId(row) for row in _rows(text))
    return found or _bad(name, text, "must be ENDPOINT,...")


def _rows(text: str) -> list[str]:
    return [row.strip() for row in text.split(",") if row.strip()]


def _bad(name: str, value: object, reason: str) -> Failure:
    shown = value.decode("latin-1") if isinstance(value, bytes) else value
    return failed(Code.BAD_PREVIEW, reason, name, shown)


_READERS: dict[str, Callable[[str, str], Any]] = {
    "host": _read_text,
    "path": _read_text,
    "route": _read_text,
    "team": _read_text,
    "model": _read_text,
    "input": _read_number,
    "output": _read_number,
    "hint": _read_number,
    "parts": _read_parts,
    "priority": _read_priority,
    "avoid": _read_avoid,
    "request": _read_text,
    "digest": _read_text,
}
