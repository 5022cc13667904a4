"""Messages between entries about requests that crash endpoints.

Each is one datagram. Several entries hold a request's crash count, so that it
survives the loss of a datagram and the restart of an entry.

The tags must not change: during a rolling upgrade, entries of two releases
exchange these messages.
"""

import msgspec

from magnolialug.ids import EndpointId, RequestDigest

__all__ = ["CrashReport", "LostRequest", "Quarantined", "RequestCompleted"]


class LostRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in progress at an endpoint when it crashed.

    Attributes:
      answered: whether part of the answer had arrived.
    """

    digest: RequestDigest
    answered: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="blamed"):
    """An endpoint has crashed while serving these requests of the sender."""

    endpoint: EndpointId
    losses: tuple[LostRequest, ...]


class RequestCompleted(
    msgspec.Struct, frozen=True, array_like=True, tag="survived"
):
    """An endpoint has answered a request that a crash report named before."""

    digest: RequestDigest


class Quarantined(msgspec.Struct, frozen=True, array_like=True, tag="bar"):
    """A request is quarantined: it must not be sent to any endpoint.

    Attributes:
      crashed_endpoints: the endpoints that crashed while serving it.
      for_ms: duration of the quarantine, 0 for a permanent one.
    """

    digest: RequestDigest
    crashed_endpoints: tuple[EndpointId, ...]
    for_ms: int = 0
