"""Asks every process which configuration version it has in force."""

import msgspec

from magnolialug.config.deployment import Deployment
from magnolialug.jsoninput import Count, decode_json
from magnolialug.platform.http import HttpClient
from magnolialug.result import Code, Failure
from magnolialug.wire.connect import connect_link
from magnolialug.wire.queries import query_status

__all__ = ["ProcessStatus", "ask_entry", "ask_sidecar", "ask_sidecars"]

_TIMEOUT_S = 2.0


class ProcessStatus(msgspec.Struct, frozen=True):
    """One process's word, or why there is none."""

    name: str
    version: int = 0
    note: str = ""


class _Health(msgspec.Struct):
    """The body of an entry's health page."""

    ready: bool
    config_version: Count


async def ask_entry(http: HttpClient, url: str) -> ProcessStatus:
    """Asks an entry through its health page."""
    reply = await http.ask("GET", f"{url}/healthz", timeout_s=_TIMEOUT_S)
    if isinstance(reply, Failure):
        return ProcessStatus(url, note=reply.reason)
    body = decode_json(reply.body, _Health, Code.KV_NONSENSE, url)
    if isinstance(body, Failure):
        return ProcessStatus(url, note=body.reason)
    note = "" if body.ready else "not ready"
    return ProcessStatus(url, body.config_version, note)


async def ask_sidecar(
    reactor, name: str, host: str, port: int
) -> ProcessStatus:
    """Asks a sidecar over its own connection."""
    status = await query_status(
        lambda: connect_link(reactor, host, port), reactor, _TIMEOUT_S
    )
    if isinstance(status, Failure):
        return ProcessStatus(name, note=status.reason)
    note = "draining" if status.draining else ""
    return ProcessStatus(name, status.config_version, note)


async def ask_sidecars(reactor, deployment: Deployment) -> list[ProcessStatus]:
    """Asks every sidecar of a deployment."""
    return [
        await ask_sidecar(reactor, name, spec.host, spec.port)
        for name, spec in deployment.endpoints.items()
    ]
