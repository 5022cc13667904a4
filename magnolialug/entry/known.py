"""What the homes have told of the endpoints and parts of one choice."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.partplan import Stored
from magnolialug.policy.sharedload import EndpointState
from magnolialug.policy.storebook import PartKey

__all__ = ["Known"]


class Known(msgspec.Struct, frozen=True):
    """The endpoints that were asked about, and the answers.

    Attributes:
      count: how many of the first on the ring are compared.
      states: of those whose homes have answered.
      stored: what the homes of stores tell of the prompt's shared parts.
    """

    count: int
    states: dict[EndpointId, EndpointState]
    stored: dict[PartKey, Stored] = {}
