"""What entries tell each other of the stores of cache parts."""

from collections.abc import Sequence
from hashlib import blake2b

import msgspec

from magnolialug.carrier.pool import Address

__all__ = ["CacheChange", "CacheNews", "keeps"]

# Entries that poll a store for all others. A second one covers the death of
# the first, and each datagram that is lost.
_KEEPERS = 2
_HASH_BYTES = 8


class CacheChange(msgspec.Struct, frozen=True, array_like=True):
    """A part became whole, or is gone.

    Attributes:
      tokens: how many are stored now.
    """

    whole: bool
    salt: str
    part: str
    tokens: int


class CacheNews(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """What a store has answered to one poll of one entry.

    Attributes:
      epoch: names one start of the store, with `born_ms`.
      since: the number that was asked from.
      next: the number to ask from the next time.
      asked_ms: when it was asked, on the store's own clock. Clocks of entries
        cannot be compared, and a report that lay in a suspended machine's
        buffer would look new by the time of its arrival.
    """

    store: str
    epoch: int
    since: int
    next: int
    asked_ms: float
    changes: tuple[CacheChange, ...] = ()
    born_ms: int = 0


def keeps(me: Address, others: Sequence[Address], store: str) -> bool:
    """Whether an entry polls a store for the others.

    A store holds a dozen polls at once and refuses the rest; with 26 entries
    that polled each for itself, half of all polls were refused, and what a
    store holds was believed half of the time. Entries agree on who polls by
    rendezvous hashing, without talking.
    """
    ahead = sum(_draw(other, store) > _draw(me, store) for other in others)
    return ahead < _KEEPERS


def _draw(entry: Address, store: str) -> int:
    data = f"{entry[0]}:{entry[1]}\0{store}".encode()
    return int.from_bytes(blake2b(data, digest_size=_HASH_BYTES).digest())
