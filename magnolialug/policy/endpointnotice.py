"""What an endpoint says of itself in its answers, of whichever kind."""

import enum
from collections import OrderedDict
from itertools import islice

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.result import Failure

__all__ = [
    "EndpointNotices",
    "LeavingEndpoint",
    "LeavingStarts",
    "NoticeSource",
    "ReceivedNotices",
]

# Holds all endpoints of a rolling release of a thousand endpoints.
_MAX_STARTS = 1000
# Bounds the datagrams that announce endpoints that leave.
_MAX_ANNOUNCED = 16


class NoticeSource(enum.Enum):
    """How this entry has learned that an endpoint leaves.

    RELISTED: the same start was listed before, and had said so.
    """

    ANSWER = "answer"
    ENTRY = "entry"
    REGISTRY = "registry"
    RELISTED = "relisted"


class EndpointNotices(msgspec.Struct, frozen=True):
    """What the head of one answer says of the endpoint that made it.

    A Failure stands for a value that cannot be read.

    Attributes:
      send_limit: requests per second that it accepts from all entries, None
        if it names no limit.
      leaving: whether it is about to shut down.
      rest_s: how long it wants no requests, None if it does not ask for rest.
      executed: whether it ran the request; only such an answer says by naming
        no limit that there is none.
    """

    send_limit: float | Failure | None = None
    leaving: bool | Failure = False
    rest_s: float | Failure | None = None
    executed: bool = False


class ReceivedNotices(msgspec.Struct, frozen=True):
    """The notices of an answer that has arrived.

    Times are in seconds of this process's clock. The endpoint made the answer
    at some moment between them.

    Attributes:
      asked_at: when the request was sent.
      seen_at: when the answer began to arrive.
      born_ms: the start that made the answer, 0 if it does not say.
    """

    notices: EndpointNotices
    asked_at: float
    seen_at: float
    born_ms: int = 0


class LeavingEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One start of an endpoint that has said that it leaves.

    Attributes:
      born_ms: when it was started, 0 if not known.
    """

    endpoint: EndpointId
    born_ms: int = 0


class LeavingStarts:
    """The most recent starts of endpoints that have said that they leave.

    A start can be listed again: its registration lapses while the key-value
    service is down, and returns with the service. A start is identified by id,
    address and start time, as far as endpoints report that.
    """

    def __init__(self) -> None:
        self._learned_at: OrderedDict[tuple, float] = OrderedDict()

    def record(self, entry: RegisteredEndpoint, now: float) -> None:
        """Records that a start leaves, unless that is known."""
        self._learned_at.setdefault(_start_of(entry, entry.born_ms), now)
        while len(self._learned_at) > _MAX_STARTS:
            self._learned_at.popitem(last=False)

    def includes(self, entry: RegisteredEndpoint) -> bool:
        """Whether a start is known to leave."""
        return any(
            _start_of(entry, born_ms) in self._learned_at
            for born_ms in (entry.born_ms, 0)
        )

    def since(self, at: float) -> tuple[LeavingEndpoint, ...]:
        """Returns the newest of the starts that were recorded after a time."""
        newest = islice(reversed(self._learned_at.items()), _MAX_ANNOUNCED)
        return tuple(
            LeavingEndpoint(endpoint, born_ms)
            for (endpoint, _, born_ms), learned_at in newest
            if learned_at > at
        )


def _start_of(entry: RegisteredEndpoint, born_ms: int) -> tuple:
    return entry.endpoint, entry.address, born_ms
