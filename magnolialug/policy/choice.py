"""Selects an endpoint by cost, health and free capacity."""

from collections.abc import Sequence

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["Candidate", "choose", "must_wait"]


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that could take a request.

    Attributes:
      cost: expected seconds, penalties included.
      sound: whether there is no sign of a fault at the moment.
      room: whether it can take the request without preempting others.
      reported: whether the owner of its ledger has reported its load.
      starts_soon: whether it would start on the request within a fraction of
        the request's target.
    """

    endpoint: EndpointId
    cost: float
    sound: bool
    room: bool = True
    reported: bool = True
    starts_soon: bool = True


def choose(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the cheapest candidate, preferably a sound one with room.

    If a switch cuts this process off the network, all endpoints look faulty at
    once, and refusing everything would turn a short fault into an outage. So if
    none is sound, the cheapest of all is tried. An endpoint without a reported
    load looks idle and would attract all requests: while the load of any sound
    one is reported, only those are considered.
    """
    sound = [row for row in candidates if row.sound]
    reported = [row for row in sound if row.reported]
    with_room = [row for row in reported if row.room]
    return min(
        with_room or reported or sound or candidates,
        key=lambda candidate: (candidate.cost, candidate.endpoint),
        default=None,
    )


def must_wait(candidates: Sequence[Candidate]) -> bool:
    """Whether a request should wait rather than go to any endpoint now.

    If a sound endpoint with room would start soon, the request need not wait,
    even if the cheapest endpoint is another one. That one may be prefilling
    parts of the same prompt at the moment, and prefilling them again elsewhere
    would cost all other requests more than this request's wait.
    """
    sound = [row for row in candidates if row.sound]
    if not sound:
        return False
    reported = [row for row in sound if row.reported] or sound
    return not any(row.room and row.starts_soon for row in reported)
