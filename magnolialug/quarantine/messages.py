"""Messages between entries about requests that crash endpoints.

Each is one datagram. Several entries keep a request's crash count, so that a
lost datagram or a restarted entry does not lose it.

The tags stay as they are: entries of two releases talk to each other during a
rolling upgrade.
"""

import msgspec

from magnolialug.ids import EndpointId, RequestDigest

__all__ = ["CrashReport", "Loss", "Quarantined", "Survived"]


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A request that was under way at an endpoint when it crashed.

    Attributes:
      answered: whether part of the answer had come.
    """

    digest: RequestDigest
    answered: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="blamed"):
    """An endpoint has crashed with these requests of the sender's."""

    endpoint: EndpointId
    losses: tuple[Loss, ...]


class Survived(msgspec.Struct, frozen=True, array_like=True, tag="survived"):
    """An endpoint has answered a request that was reported before."""

    digest: RequestDigest


class Quarantined(msgspec.Struct, frozen=True, array_like=True, tag="bar"):
    """A request goes to no endpoint.

    Attributes:
      ended: the endpoints that have crashed under it.
      for_ms: how long, 0 for always.
    """

    digest: RequestDigest
    ended: tuple[EndpointId, ...]
    for_ms: int = 0
