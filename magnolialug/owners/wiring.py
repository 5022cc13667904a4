"""Connects the owners of endpoints and their clients."""

import secrets
from collections.abc import Callable, Mapping
from itertools import cycle, islice
from typing import Any, Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.fairness.standings import WaitStandings
from magnolialug.ids import EndpointId
from magnolialug.owners.admissionclient import AdmissionClient
from magnolialug.owners.admissionqueues import AdmissionQueues
from magnolialug.owners.dissemination import (
    Dissemination,
    EvacuationState,
    LeavingState,
    RolloutState,
)
from magnolialug.owners.ledgers import EndpointFacts, Ledgers
from magnolialug.owners.ledgerservice import LedgerService
from magnolialug.owners.loadqueryclient import LoadQueryClient
from magnolialug.owners.loadreporter import LoadReporter
from magnolialug.owners.messages import (
    AdmissionReply,
    Dequeue,
    Enqueue,
    LoadQuery,
    LoadReply,
    LoadReport,
)
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.pendingqueries import PendingQueries
from magnolialug.policy.endpointnotice import LeavingEndpoint
from magnolialug.policy.saturation import Saturation
from magnolialug.policy.sharedload import WorkShare
from magnolialug.policy.waitledger import WaitReport

__all__ = ["LocalState", "Ownership", "Messenger"]

_ENTRY_NAME_BYTES = 4
# The number of a query that only probes the owner.
_PROBE_NUMBER = 0
# Entries that a saturated entry asks at each tick whether they have room.
_SATURATION_PROBES = 3
# Interval at which ledgers of endpoints that are gone are dropped.
_CLEANUP_INTERVAL_S = 1.0


class Messenger(Protocol):
    """Sends messages to entries and dispatches received ones."""

    def register_handler(
        self, message_type: type, handler: Callable[[Any, Address], None]
    ) -> None:
        """Sets the handler of a message type; it also receives the sender."""

    def send(self, message: Any, to: Address) -> None:
        """Sends a message to one entry."""


class LocalState(RolloutState, LeavingState, Protocol):
    """The last known state of endpoints in this entry's own process.

    Attributes:
      on_leaving: called with an endpoint when an answer to this entry is the
        first from which it learns that the endpoint leaves.
    """

    on_leaving: Callable[[LeavingEndpoint], None]

    def facts(self, endpoint: EndpointId) -> EndpointFacts | None:
        """Returns an endpoint's state, None if it is not listed."""

    def share(self, endpoint: EndpointId) -> WorkShare | None:
        """Returns this entry's work at an endpoint, None if it is gone."""


class Ownership:
    """Connects the clients in this entry to the owners of endpoints.

    Each endpoint has one owner among the entries. All entries report their work
    at the endpoint to the owner and query it before they choose. So the
    messages of an entry grow with its own requests and not with the fleet.

    Attributes:
      saturation: the load of this entry, and of those that answer it.

    Args:
      me: this entry's own address.
    """

    def __init__(
        self,
        me: Address,
        local_state: LocalState,
        evacuations: EvacuationState,
        messenger: Messenger,
        clock: IReactorTime,
    ):
        entry = secrets.token_hex(_ENTRY_NAME_BYTES)
        dissemination = Dissemination(
            local_state, evacuations, local_state, clock.seconds
        )
        self.saturation = Saturation()
        self.ring = OwnerRing(me, clock.seconds)
        self._ledgers = Ledgers(local_state.facts)
        self.ledger_service = LedgerService(
            self._ledgers,
            dissemination,
            lambda: self.ring.responsive_share,
            clock.seconds,
        )
        self.admission_queues = AdmissionQueues(
            self._ledgers, messenger.send, clock
        )
        self.pending_queries = PendingQueries(self.ring, messenger.send, clock)
        self.load_queries = LoadQueryClient(
            entry, self.ring, self.pending_queries, dissemination
        )
        self.load_reporter = LoadReporter(
            entry,
            self.ring,
            local_state.share,
            dissemination.recent,
            messenger.send,
            clock,
        )
        self.wait_standings = WaitStandings(
            self.ring, self._report_waits, clock.seconds
        )
        self.admission_client = AdmissionClient(
            entry, self.ring, messenger.send, clock, self.wait_standings
        )
        local_state.on_leaving = self.load_reporter.announce_leaving
        self._cleanup_at = 0.0
        self._turn = 0
        self._clock = clock
        self._messenger = messenger
        messenger.register_handler(LoadQuery, self._query)
        messenger.register_handler(LoadReply, self._on_reply)
        messenger.register_handler(
            AdmissionReply, self.admission_client.on_reply
        )
        messenger.register_handler(
            Dequeue, lambda message, _: self.admission_queues.dequeue(message)
        )
        messenger.register_handler(Enqueue, self.admission_queues.enqueue)
        messenger.register_handler(
            LoadReport, lambda report, _: self.ledger_service.record(report)
        )

    def entries(self, weights: Mapping[Address, float]) -> None:
        """Sets the registered entries, with the cores of each."""
        if self.ring.entries(weights):
            self.load_reporter.owners_changed()

    def tick(self, now: float) -> None:
        """Repeats reports, probes owners, and drops expired ledgers."""
        self.load_reporter.tick(now)
        self.wait_standings.tick(now)
        probed = self.ring.due_probes()
        if self.saturation.is_saturated:
            probed += self._next_others()
        for address in probed:
            self._messenger.send(LoadQuery("", _PROBE_NUMBER, ()), address)
        if now >= self._cleanup_at:
            self._cleanup_at = now + _CLEANUP_INTERVAL_S
            self._ledgers.drop_expired(now)
            self.saturation.drop_expired(now)

    def stop(self) -> None:
        """Cancels all timers."""
        self.load_reporter.stop()
        self.admission_client.stop()
        self.admission_queues.stop()

    def _next_others(self) -> list[Address]:
        """Returns a few other entries, different ones each time."""
        others = self.ring.others
        self._turn += _SATURATION_PROBES
        count = min(_SATURATION_PROBES, len(others))
        begin = self._turn % max(1, len(others))
        return list(islice(cycle(others), begin, begin + count))

    def _query(self, query: LoadQuery, client: Address) -> None:
        delay_ms = round(self.saturation.delay_s * 1000)
        reply = self.ledger_service.answer(query)
        if delay_ms:
            reply = msgspec.structs.replace(reply, delay_ms=delay_ms)
        if query.waits:
            standings = self.wait_standings.answer(query.waits)
            reply = msgspec.structs.replace(reply, standings=standings)
        self._messenger.send(reply, client)

    def _on_reply(self, reply: LoadReply, owner: Address) -> None:
        if owner != self.ring.me:
            self.saturation.record_other(
                owner, reply.delay_ms / 1000, self._clock.seconds()
            )
        self.pending_queries.on_reply(reply, owner)
        news = self.wait_standings.on_reply(reply.standings, owner)
        if news:
            self.admission_client.renew_flows(news)

    def _report_waits(
        self, waits: tuple[WaitReport, ...], keeper: Address
    ) -> None:
        query = LoadQuery("", _PROBE_NUMBER, (), waits=waits)
        self._messenger.send(query, keeper)
