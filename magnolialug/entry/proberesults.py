"""What has been found out for one choice."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.choice import Candidate
from magnolialug.policy.partplan import PartReport
from magnolialug.policy.sharedload import EndpointState
from magnolialug.policy.storeindex import PartKey

__all__ = ["ProbeResults"]


class ProbeResults(msgspec.Struct):
    """The endpoints that were asked about, and the answers.

    Attributes:
      count: how many of the first on the ring were looked at.
      states: of the endpoints whose owners have replied.
      stored: what the owners of stores tell of the prompt's shared parts.
      candidates: the endpoints with their costs.
    """

    count: int = 0
    states: dict[EndpointId, EndpointState] = {}
    stored: dict[PartKey, PartReport] = {}
    candidates: list[Candidate] = []
