"""Results of the probes for one placement decision."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.choice import Candidate
from magnolialug.policy.partplan import PartReport
from magnolialug.policy.sharedload import EndpointState
from magnolialug.policy.storeindex import PartKey

__all__ = ["ProbeResults"]


class ProbeResults(msgspec.Struct):
    """The queried endpoints and the replies of their owners.

    Attributes:
      count: how many endpoints from the start of the ring were considered.
      states: the states of the endpoints whose owners replied.
      stored: what the owners of stores report of the prompt's shared parts.
      candidates: the endpoints with their costs.
      limited: whether an endpoint was passed over because it has limited its
        request rate.
    """

    count: int = 0
    states: dict[EndpointId, EndpointState] = {}
    stored: dict[PartKey, PartReport] = {}
    candidates: list[Candidate] = []
    limited: bool = False
