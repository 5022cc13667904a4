"""The ledgers of the endpoints that this entry owns."""

from collections.abc import Callable, Iterator

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.endpointledger import EndpointLedger

__all__ = ["Ledgers", "EndpointFacts"]


class EndpointFacts(msgspec.Struct, frozen=True):
    """What the owner's own process knows of an endpoint.

    Attributes:
      memory: tokens, 0 for a plain service.
      rate: prompt tokens read in a second.
      open: whether it may get new work, now or soon.
      sound: whether nothing speaks against it at the moment.
      born_ms: its start, 0 if not known.
      weights: the newest version that it is known to have, by model.
      cold_until: when it is known to stop being cold, in seconds.
    """

    memory: int
    rate: float
    open: bool
    sound: bool
    born_ms: int
    weights: dict[str, int] = {}
    cold_until: float = 0.0


class Ledgers:
    """One ledger for each endpoint that was told of or asked about.

    Args:
      facts: returns what is known of an endpoint, None if it is not listed.
    """

    def __init__(self, facts: Callable[[EndpointId], EndpointFacts | None]):
        self.facts = facts
        self._ledgers: dict[EndpointId, EndpointLedger] = {}

    def __iter__(self) -> Iterator[EndpointLedger]:
        return iter(list(self._ledgers.values()))

    def of(self, endpoint: EndpointId, born_ms: int = 0) -> EndpointLedger:
        """Returns the ledger of an endpoint's newest start.

        Args:
          born_ms: the start that is told of, 0 if that is not known.
        """
        ledger = self._ledgers.get(endpoint)
        facts = self.facts(endpoint)
        born_ms = born_ms or (facts.born_ms if facts else 0)
        if ledger is None or not (
            0 < born_ms < ledger.born_ms or _is_current(ledger, facts, born_ms)
        ):
            memory = facts.memory if facts else 0
            ledger = EndpointLedger(endpoint, memory, born_ms)
            self._ledgers[endpoint] = ledger
        ledger.born_ms = max(ledger.born_ms, born_ms)
        if facts is not None:
            ledger.record_weights(facts.weights)
            ledger.record_cold_until(facts.cold_until)
        return ledger

    def drop_expired(self, now: float) -> None:
        """Forgets what is over, and endpoints that are gone."""
        for ledger in self:
            ledger.drop_expired(now)
            if ledger.is_idle() and self.facts(ledger.endpoint) is None:
                del self._ledgers[ledger.endpoint]


def _is_current(
    ledger: EndpointLedger, facts: EndpointFacts | None, born_ms: int
) -> bool:
    """Whether an ledger is of this start, and of all its memory."""
    same = not born_ms or not ledger.born_ms or born_ms == ledger.born_ms
    return same and (facts is None or facts.memory == ledger.memory)
