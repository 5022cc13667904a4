"""The choice among endpoints whose costs are known."""

from collections.abc import Sequence

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["Candidate", "choose", "must_wait"]


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that could take a request.

    Attributes:
      cost: expected seconds, penalties included.
      sound: whether nothing speaks against it at the moment.
      room: whether it can take the request without pushing others out.
      told: whether its owner has told what it has to do.
      soon: whether it would begin with the request within a part of its
        target.
    """

    endpoint: EndpointId
    cost: float
    sound: bool
    room: bool = True
    told: bool = True
    soon: bool = True


def choose(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the cheapest candidate, a sound one with room if there is any.

    If a switch takes this process off the network, all endpoints look bad at
    once; refusing everything would turn a short fault into an outage. So if
    none is sound, the cheapest of all is tried. One that nobody tells of
    looks idle, and would be sent whatever comes: while the owner of any sound
    one has answered, only such are taken.
    """
    sound = [row for row in candidates if row.sound]
    told = [row for row in sound if row.told]
    roomy = [row for row in told if row.room]
    return min(
        roomy or told or sound or candidates,
        key=lambda candidate: (candidate.cost, candidate.endpoint),
        default=None,
    )


def must_wait(candidates: Sequence[Candidate]) -> bool:
    """Whether a request is better held back than sent to any endpoint.

    While one with room would begin soon, the cheapest one may be another: it
    reads the same prompt's parts just now, and reading them again would cost
    all others more than this request's wait.
    """
    sound = [row for row in candidates if row.sound]
    if not sound:
        return False
    told = [row for row in sound if row.told] or sound
    return not any(row.room and row.soon for row in told)
