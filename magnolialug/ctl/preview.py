"""Asks a gateway where it would send a request now."""

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec

from magnolialug.jsoninput import UNREADABLE
from magnolialug.platform.http import HttpClient, Reply
from magnolialug.preview.explanation import Explanation, Refusal
from magnolialug.preview.page import PREVIEW_PATH
from magnolialug.preview.rendering import as_lines
from magnolialug.result import Code, Failure, failed

__all__ = ["preview_lines"]

_TIMEOUT_S = 3.0


async def preview_lines(
    reactor, gateway: str, arguments: Sequence[str], form: str
) -> list[str] | Failure:
    """Returns the lines of an explanation, or why there is none.

    Args:
      gateway: the URL of the listener with its metrics.
      arguments: the request, each as NAME=VALUE.
      form: "text" or "json".
    """
    if not gateway.startswith("http://"):
        reason = "the URL of a gateway's metrics port is required"
        return failed(Code.BAD_PREVIEW, reason, "--gateway", gateway)
    for argument in arguments:
        if "=" not in argument:
            return failed(
                Code.BAD_PREVIEW, "must be NAME=VALUE", "argument", argument
            )
    query = urlencode([tuple(row.split("=", 1)) for row in arguments])
    url = f"{gateway.rstrip('/')}{PREVIEW_PATH.decode()}"
    http = HttpClient(reactor, Code.CONNECTION_REFUSED)
    reply = await http.ask("GET", f"{url}?{query}", timeout_s=_TIMEOUT_S)
    http.close()
    if isinstance(reply, Failure):
        return msgspec.structs.replace(reply, field=gateway)
    return _read(reply, gateway, form)


def _read(reply: Reply, gateway: str, form: str) -> list[str] | Failure:
    try:
        if reply.status != 200:
            refusal = msgspec.json.decode(reply.body, type=Refusal)
            return failed(
                Code(refusal.code),
                refusal.reason,
                refusal.field,
                refusal.value,
                refusal.retry_after_s,
            )
        found = msgspec.json.decode(reply.body, type=Explanation)
    except UNREADABLE as exc:
        reason = f"this listener answers no previews: {exc}"
        return failed(Code.CONNECTION_REFUSED, reason, gateway, reply.status)
    return [reply.body.decode()] if form == "json" else as_lines(found)
