"""Candidates for a prompt, agreed by all entries without talking."""

import bisect
from array import array
from collections.abc import Iterable
from hashlib import blake2b

from magnolialug.ids import EndpointId

__all__ = ["Ring"]

_DIGESTS = 5
_POINT_BYTES = 6
_DIGEST_BYTES = 60
_INDEX_BITS = 16


def _points(member: str) -> list[int]:
    """Returns a member's points; ten from each of a few digests."""
    points = []
    for number in range(_DIGESTS):
        data = f"{member}#{number}".encode()
        digest = blake2b(data, digest_size=_DIGEST_BYTES).digest()
        points += [
            int.from_bytes(digest[start : start + _POINT_BYTES], "big")
            for start in range(0, _DIGEST_BYTES, _POINT_BYTES)
        ]
    return points


def _place_of(root: str) -> int:
    digest = blake2b(root.encode(), digest_size=_POINT_BYTES).digest()
    return int.from_bytes(digest, "big") << _INDEX_BITS


class Ring:
    """A consistent-hash ring over at most 65,536 endpoints.

    Every entry that knows the same members computes the same candidates. A
    member that joins or leaves moves only the prompts next to its points.
    A point and its member's index share one machine word, so that a ring of
    thousands of endpoints is small and is rebuilt without a stall.
    """

    def __init__(self, members: Iterable[EndpointId] = ()):
        self._members = sorted(set(members))
        self._points = array(
            "Q",
            sorted(
                point << _INDEX_BITS | index
                for index, member in enumerate(self._members)
                for point in _points(member)
            ),
        )

    def __len__(self) -> int:
        return len(self._members)

    def candidates(self, root: str, count: int) -> list[EndpointId]:
        """Returns up to count distinct members, the preferred one first."""
        count = min(count, len(self._members))
        if not count:
            return []
        start = bisect.bisect(self._points, _place_of(root))
        size = len(self._points)
        mask = (1 << _INDEX_BITS) - 1
        found: dict[int, None] = {}
        step = start
        while len(found) < count:
            found.setdefault(self._points[step % size] & mask)
            step += 1
        return [self._members[index] for index in found]
