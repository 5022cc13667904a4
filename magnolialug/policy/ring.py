"""Consistent-hash ring, the same in all entries without coordination."""

import bisect
from array import array
from collections.abc import Iterable, Mapping
from hashlib import blake2b

__all__ = ["Ring"]

# Digests of a member with weight 1. A member's share of the keys is in
# proportion to its points; ten points from each digest keep the imbalance
# within a fifth.
_DIGESTS_PER_MEMBER = 5
_MAX_DIGESTS = 20
_POINT_BYTES = 6
_DIGEST_BYTES = 60
_INDEX_BITS = 16


def _points(member: str, weight: float) -> list[int]:
    """Returns a member's points on the ring, ten from each digest."""
    digests = min(_MAX_DIGESTS, max(1, round(_DIGESTS_PER_MEMBER * weight)))
    points = []
    for number in range(digests):
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

    Every entry with the same members computes the same candidates. A member
    that joins or leaves moves only the prompts next to its points. A point and
    its member's index share one machine word, so that a ring of thousands of
    endpoints is small and is rebuilt without a noticeable pause.

    Args:
      weights: relative weights of members; 1 for those that are not given.
    """

    def __init__(
        self,
        members: Iterable[str] = (),
        weights: Mapping[str, float] | None = None,
    ):
        weights = weights or {}
        self._members = sorted(set(members))
        self._points = array(
            "Q",
            sorted(
                point << _INDEX_BITS | index
                for index, member in enumerate(self._members)
                for point in _points(member, weights.get(member, 1.0))
            ),
        )

    def __len__(self) -> int:
        return len(self._members)

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Ring)
            and self._members == other._members
            and self._points == other._points
        )

    def candidates(self, root: str, count: int) -> list[str]:
        """Returns up to `count` distinct members, the preferred one first."""
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
