"""What entries tell each other of requests under which endpoints ended.

Each is one datagram. A request's count is kept by a few entries, so that one
that is lost, or an entry that ends, leaves the others' counts.
"""

import msgspec

from magnolialug.ids import EndpointId, RequestDigest

__all__ = ["Bar", "Blamed", "Loss", "Survived"]


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A request that an endpoint had when it ended.

    Attributes:
      answered: whether part of the answer had come.
    """

    digest: RequestDigest
    answered: bool


class Blamed(msgspec.Struct, frozen=True, array_like=True, tag="blamed"):
    """An endpoint has ended with these requests of the sender's."""

    endpoint: EndpointId
    losses: tuple[Loss, ...]


class Survived(msgspec.Struct, frozen=True, array_like=True, tag="survived"):
    """An endpoint has answered a request that was blamed before."""

    digest: RequestDigest


class Bar(msgspec.Struct, frozen=True, array_like=True, tag="bar"):
    """A request goes to no endpoint.

    Attributes:
      ended: the endpoints that have ended under it.
      for_ms: how long, 0 for always.
    """

    digest: RequestDigest
    ended: tuple[EndpointId, ...]
    for_ms: int = 0
