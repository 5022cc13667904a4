"""Chooses the endpoint for each attempt of a forwarded call."""

from collections.abc import Callable

import msgspec

from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.costs import Costs
from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.dispatcher import Dispatcher
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.entry.progress import Progress
from magnolialug.ids import EndpointId, ServiceName
from magnolialug.owners.admissionclient import AdmissionRequest
from magnolialug.platform.requests import Answer
from magnolialug.policy.choice import Candidate, choose
from magnolialug.policy.prompt import Part
from magnolialug.policy.sharedload import Placement
from magnolialug.policy.weightbounds import WeightBounds
from magnolialug.result import Code, Failure, failed

__all__ = ["Placed", "Placer", "Listeners"]

_TARGETS = 1.5
_LEAST_PATIENCE_S = 0.1
# An evacuation lasts seconds at least; callers come back at intervals that
# neither flood the service nor waste its return.
_EVACUATED_RETRY_S = 2.0


class Placed(msgspec.Struct, frozen=True):
    """A choice, what to tell the endpoint, and what it was compared with.

    Attributes:
      unread: prompt tokens that the endpoint is expected to read.
      patience_s: how long it may stay without an answer.
      room: the free share of the engine's memory, without the request.
    """

    peer: Peer
    dispatch: Dispatch
    unread: int
    patience_s: float
    compared: tuple[Candidate, ...]
    room: float | None = None


class Listeners(msgspec.Struct, frozen=True):
    """Who is told of attempts.

    Attributes:
      sent: an attempt's endpoint, and the parts of its prompt.
      changed: an endpoint at which an attempt has come further, or ended.
      saving: an engine, a salt, and the parts that it will save under it.
      save_cancelled: the same, once it will not save them after all.
    """

    sent: Callable[[EndpointId, Placement | None], None]
    changed: Callable[[EndpointId], None]
    saving: Callable[[EndpointId, str, list[tuple[Part, ServiceName]]], None]
    save_cancelled: Callable[
        [EndpointId, str, list[tuple[Part, ServiceName]]], None
    ]


class Placer:
    """Takes the cheapest candidate, and counts what is sent to it.

    Args:
      bounds: which versions have been named.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        directory: Directory,
        shortlist: CandidateList,
        costs: Costs,
        dispatcher: Dispatcher,
        listeners: Listeners,
        bounds: WeightBounds,
        clock: Callable[[], float],
    ):
        self._directory = directory
        self._shortlist = shortlist
        self._costs = costs
        self._dispatcher = dispatcher
        self._listeners = listeners
        self._bounds = bounds
        self._clock = clock

    def place(
        self,
        call: ForwardCall,
        progress: Progress,
        avoid: set[EndpointId],
        known: ProbeResults,
        admitted_by: EndpointId | None = None,
    ) -> Placed | Failure:
        """Returns an endpoint and what to tell it.

        A failure NO_ENDPOINT says that nothing was sent.

        Args:
          known: what was found out for this choice.
          admitted_by: the engine that has reserved its memory, None for none.
        """
        candidates = [row for row in known.candidates if self._is_open(row)]
        best = self._reserved(candidates, admitted_by) or choose(candidates)
        if best is None and avoid and call.kind.idempotent:
            candidates = self._any(call, known.count)
            best = choose(candidates)
        peer = self._directory.peers.get(best.endpoint) if best else None
        if peer is None:
            return self._no_endpoint(call.service)
        return Placed(
            peer,
            self._dispatcher.dispatch(call, peer, progress.seq, known),
            self._costs.unread(call, peer, known),
            self.patience_s(call, best.cost),
            tuple(candidates),
            None if peer.load is None else round(peer.load.room(0), 3),
        )

    def admission_request(
        self, call: ForwardCall, endpoint: EndpointId, known: ProbeResults
    ) -> AdmissionRequest:
        """Returns what a large call would take of an engine."""
        peer = self._directory.peers[endpoint]
        unread = self._costs.unread(call, peer, known)
        return AdmissionRequest(endpoint, call.prompt.memory_tokens, unread)

    def patience_s(self, call: ForwardCall, expected_s: float) -> float:
        """Returns how long an attempt may stay without an answer.

        An endpoint can hang on some requests while it answers others, and
        nothing but the time tells. After half as long again as the target,
        and twice what was expected, another endpoint is the better bet.
        """
        return max(
            _TARGETS * call.route.target_s, 2 * expected_s + _LEAST_PATIENCE_S
        )

    def sent(
        self,
        call: ForwardCall,
        peer: Peer,
        dispatch: Dispatch,
        unread: int,
        now: float,
    ) -> None:
        """Counts an attempt at its endpoint."""
        peer.running += 1
        peer.cold.sent(now)
        placement = None
        if peer.health.streak:
            peer.health.probing = True
        if peer.load is not None and call.prompt is not None:
            peer.load.sent(
                call.name,
                dispatch.salt,
                call.prompt,
                unread,
                dispatch.priority,
                now,
            )
            placement = Placement(
                dispatch.endpoint,
                dispatch.salt,
                call.prompt.shared,
                peer.listed.born_ms,
            )
            saves = self._dispatcher.saves(call.prompt, dispatch)
            if saves:
                self._listeners.saving(dispatch.endpoint, dispatch.salt, saves)
        self._listeners.sent(dispatch.endpoint, placement)

    def first_event(self, call: ForwardCall, peer: Peer) -> None:
        """Learns that an attempt's prompt has been read."""
        if peer.load is not None:
            peer.load.first_event(call.name, self._clock())
            self._listeners.changed(peer.listed.endpoint)

    def not_run(self, call: ForwardCall, dispatch: Dispatch) -> None:
        """Learns that an attempt's endpoint has not run it and never will."""
        if call.prompt is None:
            return
        saves = self._dispatcher.saves(call.prompt, dispatch)
        if saves:
            endpoint, salt = dispatch.endpoint, dispatch.salt
            self._listeners.save_cancelled(endpoint, salt, saves)

    def over(self, call: ForwardCall, peer: Peer) -> None:
        """Counts an attempt out."""
        peer.running -= 1
        if peer.load is not None:
            peer.load.ended(call.name)
        self._listeners.changed(peer.listed.endpoint)

    def misdirected(
        self, call: ForwardCall, peer: Peer, to: Dispatch, answer: Answer
    ) -> None:
        """Learns that a belief about an endpoint was wrong.

        Either another endpoint has its address, or it has other weights
        than were asked for.
        """
        if answer.instance and answer.instance != to.endpoint:
            self._directory.found(peer, EndpointId(answer.instance))
        elif call.prompt is not None:
            model = call.prompt.model
            peer.denied_weights(model, to.weights)
            peer.heard_weights(
                model, self._bounds.only_newer(model, to.weights)
            )
            self._listeners.changed(to.endpoint)

    def _is_open(self, candidate: Candidate) -> bool:
        """Whether an endpoint still accepts work, after a wait for instance."""
        peer = self._directory.peers.get(candidate.endpoint)
        return peer is not None and peer.may_send(self._clock())

    def _no_endpoint(self, service: ServiceName) -> Failure:
        """Returns why no endpoint of a service can be sent anything."""
        if self._directory.is_evacuated(service):
            return failed(Code.EVACUATED, retry_after_s=_EVACUATED_RETRY_S)
        wait_s = self._directory.cold_wait_s(service)
        if wait_s is not None:
            return failed(Code.COLD, retry_after_s=wait_s)
        return failed(Code.NO_ENDPOINT, retry_after_s=1.0)

    def _any(self, call: ForwardCall, count: int) -> list[Candidate]:
        """Returns candidates by own beliefs, those tried before among them."""
        known = ProbeResults(count)
        return [
            self._costs.candidate(call, peer, rank, known)
            for rank, peer in enumerate(
                self._shortlist.peers(call, set(), count)
            )
        ]

    def _reserved(
        self, candidates: list[Candidate], admitted_by: EndpointId | None
    ) -> Candidate | None:
        """Returns the candidate that has reserved memory, if it is usable."""
        peer = self._directory.peers.get(admitted_by) if admitted_by else None
        now = self._clock()
        if not peer or not peer.may_send(now) or not peer.sound(now):
            return None
        return next(
            (row for row in candidates if row.endpoint == admitted_by), None
        )
