"""The load ledgers of the endpoints that this entry owns."""

from collections.abc import Callable, Iterator

import msgspec

from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.policy.endpointledger import EndpointLedger

__all__ = ["Ledgers", "EndpointFacts"]


class EndpointFacts(msgspec.Struct, frozen=True):
    """The state of an endpoint as known to the owner's own process.

    Attributes:
      memory: its cache memory in tokens, 0 for a plain service.
      rate: its prefill rate in prompt tokens per second.
      open: whether it may get new work, now or soon.
      sound: whether nothing prevents new work at the moment.
      born_ms: when it was started, 0 if not known.
      weights: the newest version that it is known to have, by model.
      cold_until: when it stops being cold, as far as known, in seconds.
      leaving: whether an answer to any entry has said that it leaves.
    """

    memory: int
    rate: float
    open: bool
    sound: bool
    born_ms: int
    weights: dict[str, int] = {}
    cold_until: float = 0.0
    leaving: bool = False


class Ledgers:
    """One ledger for each endpoint that was reported or queried.

    Args:
      facts: returns the state of an endpoint, None if it is not listed.
    """

    def __init__(self, facts: Callable[[EndpointId], EndpointFacts | None]):
        self.facts = facts
        self._ledgers: dict[EndpointId, EndpointLedger] = {}

    def __iter__(self) -> Iterator[EndpointLedger]:
        return iter(list(self._ledgers.values()))

    def of(self, endpoint: EndpointId, born_ms: int = 0) -> EndpointLedger:
        """Returns the ledger of an endpoint's newest start.

        Args:
          born_ms: the start that the message refers to, 0 if not known.
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
        """Drops expired state, and the ledgers of endpoints that are gone."""
        for ledger in self:
            ledger.drop_expired(now)
            _log_pace(ledger, now)
            if ledger.is_idle() and self.facts(ledger.endpoint) is None:
                del self._ledgers[ledger.endpoint]


def _log_pace(ledger: EndpointLedger, now: float) -> None:
    """Logs that an engine has left its usual pace, or is back at it."""
    became_slow = ledger.paces.take_change(now)
    if became_slow is not None:
        pace = ledger.pace(now)
        emit(
            Event.ENGINE_SLOW if became_slow else Event.ENGINE_PACE_BACK,
            endpoint=ledger.endpoint,
            tokens_per_s=pace.tokens_per_s,
            usual=ledger.paces.usual.tokens_per_s,
            event_ms=pace.event_ms,
        )


def _is_current(
    ledger: EndpointLedger, facts: EndpointFacts | None, born_ms: int
) -> bool:
    """Whether a ledger is for this start and this memory size."""
    same = not born_ms or not ledger.born_ms or born_ms == ledger.born_ms
    return same and (facts is None or facts.memory == ledger.memory)
