"""What began each recent stream, by the request of its first event."""

from collections import OrderedDict
from hashlib import blake2b
from typing import NewType

import msgspec

from magnolialug.ids import ServiceName, SoftwareVersion, TeamId

__all__ = [
    "Origin",
    "OriginKey",
    "OriginTable",
    "origin_key",
    "stream_lifetime_s",
]

OriginKey = NewType("OriginKey", bytes)

# 96 bits: no team finds an id whose key is that of another team's stream.
_KEY_BYTES = 12
# A caller takes a stream up within its own deadline, and a route's time-out
# bounds each of its tries.
_TRIES = 2
# About 7 MB. An entry holds what it began and, for others, twice as much.
_MAX_STREAMS = 20_000


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """The service and the software version that began a stream."""

    service: ServiceName
    software: SoftwareVersion


def origin_key(team: TeamId, request_id: str) -> OriginKey:
    """Returns the key of the stream that a team's request began.

    Request ids are the callers' own, so the key holds the team as well: no team
    can learn of another's streams, or change what is known of them.
    """
    name = team.encode()
    data = b"%d " % len(name) + name + request_id.encode()
    return OriginKey(blake2b(data, digest_size=_KEY_BYTES).digest())


def stream_lifetime_s(timeout_s: float) -> float:
    """Returns how long after its first event a stream may be taken up.

    Args:
      timeout_s: of the stream's route, in seconds.
    """
    return _TRIES * timeout_s


class _Record(msgspec.Struct):
    """Attributes: origin is None if two were recorded for one stream."""

    origin: Origin | None
    at: float
    until: float


class OriginTable:
    """Remembers the origins of recent streams, up to a number of them."""

    def __init__(self) -> None:
        self._records: OrderedDict[OriginKey, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self, key: OriginKey, origin: Origin, lifetime_s: float, now: float
    ) -> None:
        """Records what began a stream, or that the stream goes on.

        A caller that uses an id twice can begin two streams under it. Which of
        them it takes up later cannot be told.
        """
        found = self._records.get(key)
        until = now + lifetime_s
        if found is not None and now < found.until:
            if found.origin != origin:
                found.origin = None
            found.until = max(until, found.until)
            self._records.move_to_end(key)
            return
        self._records[key] = _Record(origin, now, until)
        self._records.move_to_end(key)
        if len(self._records) > _MAX_STREAMS:
            self._records.popitem(last=False)

    def find(self, key: OriginKey, now: float) -> Origin | None:
        """Returns what began a stream, None if it is not known."""
        found = self._records.get(key)
        return found.origin if found and now < found.until else None

    def is_ambiguous(self, key: OriginKey, now: float) -> bool:
        """Whether two origins were recorded for a stream."""
        found = self._records.get(key)
        return bool(found) and now < found.until and found.origin is None

    def age_s(self, key: OriginKey, now: float) -> float:
        """Returns how long ago a stream's origin was recorded first."""
        return now - self._records[key].at

    def drop_expired(self, now: float) -> None:
        """Forgets streams that can no longer be taken up."""
        for key, record in list(self._records.items()):
            if now >= record.until:
                del self._records[key]
