"""Asks the owners of stores what to do with the parts of a prompt."""

from collections.abc import Callable, Iterable
from functools import partial

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId, ServiceName
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.pendingqueries import PendingQueries
from magnolialug.policy.partplan import Stored
from magnolialug.policy.prompt import Part
from magnolialug.policy.storeindex import PartKey, PartStatus
from magnolialug.policy.storemap import StoreMap
from magnolialug.prefixcache.messages import (
    PartQuery,
    PartReply,
    QueriedPart,
    SaveCancelled,
    SaveNotice,
)

__all__ = ["PartQueryClient"]

# Stores that are asked about a part, one after the other, while the first
# choice can neither give nor take it.
_CHOICES = 3
# States that leave a part to the next choice.
_ELSEWHERE = (PartStatus.UNHEARD, PartStatus.FULL, PartStatus.CLOSED)


class PartQueryClient:
    """Finds out where a prompt's shared parts are, or are to be kept.

    Args:
      owners: tells who indexes a store.
      stores: the stores of the configuration.
      send: sends a message to an entry.
    """

    def __init__(
        self,
        owners: OwnerRing,
        stores: StoreMap,
        questions: PendingQueries,
        send: Callable[[SaveNotice | SaveCancelled, Address], None],
    ):
        self._owners = owners
        self._stores = stores
        self._questions = questions
        self._send = send

    async def ask(
        self, salts: Iterable[str], parts: Iterable[Part]
    ) -> dict[PartKey, Stored]:
        """Returns what the owners of stores report of parts."""
        rows = [(salt, part) for salt in salts for part in parts]
        orders = {
            (salt, part.name): self._stores.order((salt, part.name))
            for salt, part in rows
        }
        stored: dict[PartKey, Stored] = {}
        for choice in range(_CHOICES):
            asked = [
                QueriedPart(orders[salt, part.name][choice], salt, part)
                for salt, part in rows
                if choice < len(orders[salt, part.name])
                and _is_open(stored.get((salt, part.name)))
            ]
            if not asked:
                break
            for told in await self._ask(asked):
                _take(stored, told)
        return stored

    def save(
        self,
        reader: EndpointId,
        salt: str,
        parts: Iterable[tuple[Part, ServiceName]],
    ) -> None:
        """Tells the owners that an engine was asked to save parts."""
        self._notify(SaveNotice, reader, salt, parts)

    def cancel_save(
        self,
        reader: EndpointId,
        salt: str,
        parts: Iterable[tuple[Part, ServiceName]],
    ) -> None:
        """Tells the owners that an engine will not save parts after all."""
        self._notify(SaveCancelled, reader, salt, parts)

    def _notify(
        self,
        form: type[SaveNotice | SaveCancelled],
        reader: EndpointId,
        salt: str,
        parts: Iterable[tuple[Part, ServiceName]],
    ) -> None:
        """Sends one message to each owner of the stores of some parts."""
        queried = [QueriedPart(store, salt, part) for part, store in parts]
        for owner, rows in self._by_owner(queried).items():
            self._send(form(reader, tuple(rows)), owner)

    async def _ask(self, asked: list[QueriedPart]) -> list[PartReply]:
        return await self._questions.ask(
            {
                owner: partial(PartQuery, parts=tuple(rows))
                for owner, rows in self._by_owner(asked).items()
            }
        )

    def _by_owner(
        self, asked: Iterable[QueriedPart]
    ) -> dict[Address, list[QueriedPart]]:
        by_owner: dict[Address, list[QueriedPart]] = {}
        for row in asked:
            owner = self._owners.owner(row.store)
            by_owner.setdefault(owner, []).append(row)
        return by_owner


def _is_open(told: Stored | None) -> bool:
    return told is None or told.word in _ELSEWHERE


def _take(stored: dict[PartKey, Stored], told: PartReply) -> None:
    """Takes an answer; a second choice counts only if it can do more."""
    for state in told.states:
        key = (state.salt, state.name)
        if key in stored and state.word in _ELSEWHERE:
            continue
        stored[key] = Stored(
            state.store, state.word, state.until_ms, state.reader
        )
