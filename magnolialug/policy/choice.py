"""The choice among endpoints whose costs are known."""

from collections.abc import Sequence

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["Candidate", "choose"]


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that could take a request.

    Attributes:
      cost: expected seconds, penalties included.
      sound: whether nothing speaks against it at the moment.
      room: whether it can take the request without pushing others out.
    """

    endpoint: EndpointId
    cost: float
    sound: bool
    room: bool = True


def choose(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the cheapest sound candidate, one with room if there is any.

    If a switch takes this process off the network, all endpoints look bad at
    once; refusing everything would turn a short fault into an outage. So if
    none is sound, the cheapest of all is tried.
    """
    sound = [candidate for candidate in candidates if candidate.sound]
    roomy = [candidate for candidate in sound if candidate.room]
    return min(
        roomy or sound or candidates,
        key=lambda candidate: (candidate.cost, candidate.endpoint),
        default=None,
    )
