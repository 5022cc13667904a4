"""Which store keeps a part, the same one at all entries."""

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from magnolialug.ids import ServiceName, ZoneId
from magnolialug.policy.storeindex import PartKey

__all__ = ["StoreMap", "StoreTraits"]

_HASH_BYTES = 6
# Transfers between zones take twice as long.
_OTHER_ZONE = 2.0


class StoreTraits(msgspec.Struct, frozen=True):
    """What the configuration says of a store.

    Attributes:
      address: as requests name it.
      capacity: tokens that it can hold.
      token_s: time to move one token inside a zone.
      first_s: added to each transfer.
    """

    address: str
    zone: ZoneId
    capacity: int
    token_s: float
    first_s: float

    def fetch_s(self, tokens: int, zone: ZoneId) -> float:
        """Returns how long it takes to bring tokens to an engine."""
        slower = 1.0 if zone == self.zone else _OTHER_ZONE
        return self.first_s + slower * tokens * self.token_s


class StoreMap:
    """The stores of the configuration in force."""

    def __init__(self) -> None:
        self.traits: dict[ServiceName, StoreTraits] = {}

    def configure(self, traits: Mapping[ServiceName, StoreTraits]) -> None:
        """Takes the stores of a configuration."""
        self.traits = dict(traits)

    def order(self, key: PartKey) -> list[ServiceName]:
        """Returns the stores for a part, the first choice first.

        Larger stores get more parts: the draw of each is raised to the power
        of one over its capacity, as in weighted rendezvous hashing.
        """
        return sorted(
            self.traits,
            key=lambda name: (
                _draw(key, name) ** (1 / self.traits[name].capacity)
            ),
            reverse=True,
        )


def _draw(key: PartKey, store: ServiceName) -> float:
    data = f"{key[0]}\0{key[1]}\0{store}".encode()
    digest = blake2b(data, digest_size=_HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 1) / (256**_HASH_BYTES + 1)
