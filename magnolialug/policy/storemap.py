"""Maps parts to stores, identically on all entries."""

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from magnolialug.ids import ServiceName, ZoneId
from magnolialug.policy.storeindex import PartKey

__all__ = ["StoreMap", "StoreTraits"]

_HASH_BYTES = 6
# Transfers between availability zones take twice as long.
_CROSS_ZONE_FACTOR = 2.0


class StoreTraits(msgspec.Struct, frozen=True):
    """The configured properties of a store.

    Attributes:
      address: host and port, as written in requests.
      capacity: tokens that it can hold.
      per_token_s: time to transfer one token within a zone, in seconds.
      latency_s: fixed latency of each transfer, in seconds.
    """

    address: str
    zone: ZoneId
    capacity: int
    per_token_s: float
    latency_s: float

    def fetch_s(self, tokens: int, zone: ZoneId) -> float:
        """Returns the time to transfer tokens to an engine, in seconds."""
        factor = 1.0 if zone == self.zone else _CROSS_ZONE_FACTOR
        return self.latency_s + factor * tokens * self.per_token_s


class StoreMap:
    """The stores of the current configuration."""

    def __init__(self) -> None:
        self.traits: dict[ServiceName, StoreTraits] = {}

    def configure(self, traits: Mapping[ServiceName, StoreTraits]) -> None:
        """Replaces the stores with those of a configuration."""
        self.traits = dict(traits)

    def ranking(self, key: PartKey) -> list[ServiceName]:
        """Returns the stores for a part, the preferred one first.

        This is weighted rendezvous hashing: the hash of each store is raised
        to the power of one over its capacity, so that larger stores get more
        parts.
        """
        return sorted(
            self.traits,
            key=lambda name: (
                _unit_hash(key, name) ** (1 / self.traits[name].capacity)
            ),
            reverse=True,
        )


def _unit_hash(key: PartKey, store: ServiceName) -> float:
    data = f"{key[0]}\0{key[1]}\0{store}".encode()
    digest = blake2b(data, digest_size=_HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 1) / (256**_HASH_BYTES + 1)
