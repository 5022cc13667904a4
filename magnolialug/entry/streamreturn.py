"""Binds a call that takes a stream up to the version that began it."""

import msgspec

from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.events import Event
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Failure, failed
from magnolialug.streamorigins.wiring import Found, StreamOrigins

__all__ = ["bind_to_origin", "registry_unconfirmed"]

# Another entry may know at once what this one does not.
_OTHER_ENTRY_RETRY_AFTER_S = 0.1


async def bind_to_origin(
    call: ForwardCall,
    origins: StreamOrigins,
    metrics: GatewayMetrics,
    log: RequestLog,
) -> ForwardCall | Failure:
    """Returns a call that only endpoints of its stream's version may serve.

    Returns:
      why the stream cannot be taken up, if it cannot.
    """
    found = await origins.find(call)
    metrics.streams_taken_up.add(1, {"found_by": found.by.value})
    _log_found(call, found, log)
    origin = found.origin
    if origin is None:
        retry_after_s = (
            _OTHER_ENTRY_RETRY_AFTER_S if found.may_be_known_elsewhere else 0.0
        )
        return failed(
            Code.ORIGIN_UNKNOWN, value=call.resumes, retry_after_s=retry_after_s
        )
    if origin.service != call.service:
        # The route may have moved to it, and the news not have arrived.
        if not await origins.registry.confirm_routes(call.deadline):
            return registry_unconfirmed(origin.service)
        return failed(Code.VERSION_GONE, value=origin.service)
    return msgspec.structs.replace(call, software=origin.software)


def registry_unconfirmed(name: str) -> Failure:
    """Returns the refusal of a stream that may be continued elsewhere.

    Args:
      name: the version or service that is not known to serve here.
    """
    return failed(
        Code.REGISTRY_UNCONFIRMED,
        value=name,
        retry_after_s=_OTHER_ENTRY_RETRY_AFTER_S,
    )


def _log_found(call: ForwardCall, found: Found, log: RequestLog) -> None:
    origin = found.origin
    log.emit(
        Event.STREAM_TAKEN_UP,
        resumes=call.resumes,
        found_by=found.by.value,
        service=origin.service if origin else "",
        software=origin.software if origin else "",
        age_s=round(found.age_s, 3),
        asked=found.asked,
        answered=found.answered,
        own_version=found.own_version or "",
        vouched_versions=found.vouched_versions,
    )
