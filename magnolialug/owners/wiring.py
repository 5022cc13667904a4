"""Wires the shared load ledgers of endpoints: owners and their clients."""

import secrets
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId
from magnolialug.owners.admissionclient import AdmissionClient
from magnolialug.owners.admissionqueues import AdmissionQueues
from magnolialug.owners.dissemination import (
    Dissemination,
    EvacuationBelief,
    RolloutBelief,
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
from magnolialug.policy.sharedload import WorkShare

__all__ = ["Beliefs", "Ownership", "Talk"]

_NAME_BYTES = 4
# Of a query that only probes the owner.
_NO_NUMBER = 0
# Ledgers of endpoints that are gone are dropped this often.
_CLEAN_S = 1.0


class Talk(Protocol):
    """Brings messages to entries."""

    def takes(self, form: type, take: Callable[[Any, Address], None]) -> None:
        """Names who takes messages of a type, and from whom they come."""

    def send(self, message: Any, to: Address) -> None:
        """Sends a message to one entry."""


class Beliefs(RolloutBelief, Protocol):
    """What this entry's own process believes of the endpoints."""

    def facts(self, endpoint: EndpointId) -> EndpointFacts | None:
        """Returns what an owner must know, None if it is not listed."""

    def share(self, endpoint: EndpointId) -> WorkShare | None:
        """Returns this entry's work at an endpoint, None if it is gone."""


class Ownership:
    """Connects the clients in this entry to the owners of endpoints.

    Each endpoint has one owner among the entries. All report their work at the
    endpoint to it and query it when they choose, so that the messages of an
    entry grow with its own requests and not with the fleet.

    Args:
      me: this entry's own address.
    """

    def __init__(
        self,
        me: Address,
        beliefs: Beliefs,
        evacuations: EvacuationBelief,
        talk: Talk,
        clock: IReactorTime,
    ):
        entry = secrets.token_hex(_NAME_BYTES)
        dissemination = Dissemination(beliefs, evacuations, clock.seconds)
        self.ring = OwnerRing(me, clock.seconds)
        self._ledgers = Ledgers(beliefs.facts)
        self.ledger_service = LedgerService(
            self._ledgers, dissemination, clock.seconds
        )
        self.admission_queues = AdmissionQueues(self._ledgers, talk.send, clock)
        self.pending_queries = PendingQueries(self.ring, talk.send, clock)
        self.load_queries = LoadQueryClient(
            entry, self.ring, self.pending_queries, dissemination
        )
        self.load_reporter = LoadReporter(
            entry,
            self.ring,
            beliefs.share,
            dissemination.recent,
            talk.send,
            clock,
        )
        self.admission_client = AdmissionClient(
            entry, self.ring, talk.send, clock
        )
        self._clean_at = 0.0
        self._talk = talk
        talk.takes(LoadQuery, self._query)
        talk.takes(LoadReply, self.pending_queries.answered)
        talk.takes(AdmissionReply, self.admission_client.on_reply)
        talk.takes(
            Dequeue, lambda message, _: self.admission_queues.dequeue(message)
        )
        talk.takes(Enqueue, self.admission_queues.enqueue)
        talk.takes(
            LoadReport, lambda report, _: self.ledger_service.record(report)
        )

    def entries(self, weights: Mapping[Address, float]) -> None:
        """Takes the registered entries, with the cores that each has."""
        if self.ring.entries(weights):
            self.load_reporter.moved()

    def tick(self, now: float) -> None:
        """Repeats reports and drops what is old."""
        self.load_reporter.tick(now)
        for address in self.ring.due():
            self._talk.send(LoadQuery("", _NO_NUMBER, ()), address)
        if now >= self._clean_at:
            self._clean_at = now + _CLEAN_S
            self._ledgers.drop_expired(now)

    def stop(self) -> None:
        """Cancels all timers."""
        self.load_reporter.stop()
        self.admission_client.stop()
        self.admission_queues.stop()

    def _query(self, query: LoadQuery, client: Address) -> None:
        self._talk.send(self.ledger_service.answer(query), client)
