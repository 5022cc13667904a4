"""One endpoint as the gateway uses it."""

import msgspec

from magnolialug.carrier.pool import Pool
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.owners.ledgers import EndpointFacts
from magnolialug.policy.coldstart import ColdStart
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.health import Health
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.policy.sharedload import EndpointState, WorkShare

__all__ = ["Peer"]

# Loading weights takes 1.3 s: an entry that was not told meets a loading
# engine about four times.
_TURNED_AWAY_S = 0.3
# What the others do at a plain service counts for this long after it was
# told. Its answers take a tenth of a second.
_STATE_TRUST_S = 0.2


class Peer:
    """An endpoint's connections, its health and what is under way there.

    Attributes:
      listed: its newest registry entry.
      running: attempts under way from this process.
      gone: whether the registry dropped it, or another has its address.
      evacuated: whether its availability zone is evacuated.
      ended_at: when it was learned that it has started anew; None if not.
      closed_until: its engine loads weights and turns new work away.
      heard_at: when the last byte came from it.
      mute: whether it has been silent for too long while it had work.
      unreachable: whether the newest connection to it could not be made.
      cold: bounds its new work after a start.
      load: what is known of its engine, None for a plain service.
    """

    def __init__(
        self,
        listed: RegisteredEndpoint,
        pool: Pool,
        load: EngineLoad | None,
        cold: ColdStart,
    ):
        self.cold = cold
        self.unreachable = False
        self.listed = listed
        self.pool = pool
        self.load = load
        self.health = Health()
        self.running = 0
        self.gone = False
        self.evacuated = False
        self.ended_at: float | None = None
        self.closed_until = 0.0
        self.heard_at = float("-inf")
        self.mute = False
        self._running_elsewhere = 0
        self._told_at = float("-inf")
        self._weights: dict[str, int] = dict(listed.weights)
        self._denied: dict[str, int] = {}

    @property
    def start(self) -> EndpointId:
        """Names this start of the endpoint, also where ids are kept."""
        born = f"/{self.listed.born_ms}" if self.listed.born_ms else ""
        return EndpointId(f"{self.listed.endpoint}{born}")

    @property
    def leaving(self) -> bool:
        """Whether it ends soon, or has ended."""
        return self.gone or self.listed.leaving

    @property
    def accepts_work(self) -> bool:
        """Whether new work may go to it, now or after a moment."""
        return not self.leaving and not self.evacuated

    def may_send(self, now: float) -> bool:
        """Whether new work may go to it at this moment."""
        return self.accepts_work and self.cold.may_send(now)

    def state(self, now: float) -> str:
        """Returns one word for what is believed of it."""
        if self.leaving:
            return "leaving"
        if self.evacuated:
            return "evacuated"
        if now < self.closed_until:
            return "closed"
        if self.cold.is_cold(now):
            return "cold"
        return "up" if self.sound(now) else "suspected"

    def sound(self, now: float) -> bool:
        """Whether nothing speaks against sending it work."""
        closed = now < self.closed_until
        return not closed and not self.mute and self.health.usable(now)

    def heard(self, now: float) -> None:
        """Learns that bytes came from it."""
        self.heard_at = now
        if self.mute or self.unreachable:
            self.presume_cold(now)
        self.unreachable = False
        if self.mute:
            self.mute = False
            emit(Event.ENDPOINT_BACK, endpoint=self.listed.endpoint)

    def presume_cold(self, now: float) -> None:
        """Learns that it may have started a moment ago."""
        if self.cold.assume_started(now):
            self._log_cold(self.cold.length_s)

    def starts_cold(self, now: float) -> None:
        """Learns that it, or its zone, is back and therefore cold."""
        if self.cold.start(now):
            self._log_cold(self.cold.length_s)

    def _log_cold(self, left_s: float) -> None:
        emit(
            Event.ENDPOINT_COLD,
            endpoint=self.listed.endpoint,
            left_s=round(left_s, 3),
            interval_s=round(self.cold.interval_s, 3),
        )

    def told(self, state: EndpointState, now: float) -> None:
        """Takes what it has to do for the other entries."""
        self._running_elsewhere = state.running
        self._told_at = now
        for model, version in state.weights.items():
            self.heard_weights(model, version)
        for model, version in state.min_weights.items():
            self.denied_weights(model, version - 1)
        cold_s = state.cold_ms / 1000
        if cold_s > 0 and self.cold.assume_cold(now, cold_s):
            self._log_cold(cold_s)
        if self.load is not None:
            self.load.record_others(state, now)

    def taken(self, now: float) -> int:
        """Returns the requests under way there, from all entries."""
        told = now - self._told_at <= _STATE_TRUST_S
        return self.running + (self._running_elsewhere if told else 0)

    def facts(self, now: float) -> EndpointFacts:
        """Returns what the owner of its ledger must know."""
        load = self.load
        return EndpointFacts(
            memory=load.memory if load else 0,
            rate=load.rate if load else 0.0,
            open=self.accepts_work,
            sound=self.sound(now),
            born_ms=self.listed.born_ms,
            weights=self.all_weights(),
            cold_until=self.cold.confirmed_until,
        )

    def share(self, now: float) -> WorkShare:
        """Returns this entry's work there, as it is told to its owner."""
        listed = self.listed
        cold_ms = round(max(0.0, self.cold.confirmed_until - now) * 1000)
        if self.load is not None:
            return self.load.share(
                listed.endpoint,
                self.heard_at,
                now,
                listed.born_ms,
                self.all_weights(),
                self._unknown_weights(),
                cold_ms,
            )
        return WorkShare(
            listed.endpoint,
            (),
            0,
            self.running,
            born_ms=listed.born_ms,
            cold_ms=cold_ms,
        )

    def serves(self, model: str) -> bool:
        """Whether it has some version of a model."""
        return model in self._weights

    def weights(self, model: str) -> int:
        """Returns the version that it has of a model, 0 if not known."""
        version = self._weights.get(model, 0)
        return version if version > self._denied.get(model, 0) else 0

    def all_weights(self) -> dict[str, int]:
        """Returns the newest version that it is known to have, by model."""
        return dict(self._weights)

    def least_weights(self, model: str) -> int:
        """Returns the oldest version of a model that it can have."""
        denied = self._denied.get(model)
        version = self._weights.get(model, 0)
        return version if denied is None else max(version, denied + 1)

    def _unknown_weights(self) -> dict[str, int]:
        """Returns the least version of models whose version is not known."""
        return {
            model: version + 1
            for model, version in self._denied.items()
            if version >= self._weights.get(model, 0)
        }

    def heard_weights(self, model: str, version: int) -> None:
        """Takes the version that one of its answers was made with."""
        if version > self._weights.get(model, 0):
            self._weights[model] = version
            self.closed_until = 0.0

    def denied_weights(self, model: str, version: int) -> None:
        """Learns that it has another version than this; a newer one.

        An entry that is cut off from the registry goes on asking for the old
        version, and every request is turned away. Until an answer tells the
        new one, requests take any.
        """
        self._denied[model] = max(version, self._denied.get(model, 0))

    def turned_away(self, now: float) -> None:
        """Learns that it takes no new work just now.

        Either its queue is full or it loads weights; both pass, and what is
        sent meanwhile is turned away too.
        """
        self.closed_until = max(self.closed_until, now + _TURNED_AWAY_S)

    def relist(self, listed: RegisteredEndpoint, now: float) -> None:
        """Takes a newer registry entry of the same start."""
        if listed.cold_s > 0 and self.cold.record_cold(now, listed.cold_s):
            self._log_cold(listed.cold_s)
        born_ms = listed.born_ms or self.listed.born_ms
        self.listed = msgspec.structs.replace(listed, born_ms=born_ms)
        for model, version in listed.weights.items():
            self.heard_weights(model, version)
