"""Chooses the endpoint for each attempt of a forwarded call."""

from collections.abc import Callable

import msgspec

from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.costestimator import CostEstimator
from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.dispatchbuilder import DispatchBuilder
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.entry.progress import Progress
from magnolialug.ids import EndpointId, ServiceName
from magnolialug.owners.admissionclient import AdmissionRequest
from magnolialug.platform.requests import Answer
from magnolialug.policy.choice import Candidate, choose
from magnolialug.policy.prompt import Part
from magnolialug.policy.restperiod import ReturnSpread
from magnolialug.policy.returnschedule import ReturnSchedule
from magnolialug.policy.sharedload import Placement
from magnolialug.policy.weightbounds import WeightBounds
from magnolialug.result import Code, Failure, failed

__all__ = ["Placed", "Placer", "AttemptCallbacks"]

_ANSWER_TIMEOUT_TARGET_RATIO = 1.5
_ANSWER_TIMEOUT_MARGIN_S = 0.1
# Retry-After during an evacuation, which lasts seconds at least: long enough
# not to flood the service, short enough to use it soon after its return.
_EVACUATED_RETRY_S = 2.0


class Placed(msgspec.Struct, frozen=True):
    """A chosen endpoint, its parameters, and the compared candidates.

    Attributes:
      unread_tokens: prompt tokens that the endpoint is expected to read.
      answer_timeout_s: the longest wait for the answer's head.
      room: the free share of the engine's memory before this request.
    """

    peer: Peer
    dispatch: Dispatch
    unread_tokens: int
    answer_timeout_s: float
    compared: tuple[Candidate, ...]
    room: float | None = None


class AttemptCallbacks(msgspec.Struct, frozen=True):
    """Callbacks for the progress of attempts.

    Attributes:
      sent: receives an attempt's endpoint and the parts of its prompt.
      changed: receives an endpoint at which an attempt progressed or ended.
      saving: receives an engine, a cache namespace, and the parts that the
        engine will save in it.
      save_cancelled: receives the same if the engine will not save them.
    """

    sent: Callable[[EndpointId, Placement | None], None]
    changed: Callable[[EndpointId], None]
    saving: Callable[[EndpointId, str, list[tuple[Part, ServiceName]]], None]
    save_cancelled: Callable[
        [EndpointId, str, list[tuple[Part, ServiceName]]], None
    ]


class Placer:
    """Chooses the cheapest candidate and counts the attempts sent to it.

    Args:
      bounds: the named versions of the weights.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        directory: Directory,
        shortlist: CandidateList,
        costs: CostEstimator,
        dispatch_builder: DispatchBuilder,
        callbacks: AttemptCallbacks,
        bounds: WeightBounds,
        clock: Callable[[], float],
    ):
        self._directory = directory
        self._shortlist = shortlist
        self._costs = costs
        self._dispatch_builder = dispatch_builder
        self._callbacks = callbacks
        self._bounds = bounds
        self._clock = clock
        self._returns = ReturnSchedule()
        self._returns_from_rest = ReturnSpread()

    def place(
        self,
        call: ForwardCall,
        progress: Progress,
        avoid: set[EndpointId],
        results: ProbeResults,
        admitted_by: EndpointId | None = None,
        misdirected: frozenset[EndpointId] = frozenset(),
    ) -> Placed | Failure:
        """Returns an endpoint and the parameters to send to it.

        If there is no endpoint, nothing has been sent, and the failure is
        NO_ENDPOINT, VERSION_GONE, EVACUATED, RESTING, COLD or LIMITED.

        Args:
          results: the probe results for this choice.
          admitted_by: the engine that has reserved memory, None for none.
          misdirected: endpoints whose last answer to this call was 421.
        """
        candidates = [row for row in results.candidates if self._is_open(row)]
        best = self._reserved(candidates, admitted_by) or choose(candidates)
        if best is None:
            # Includes unprobed endpoints, since the probed ones may have begun
            # to leave, and those of earlier attempts if the call may run twice.
            tried = set(misdirected) if call.kind.idempotent else avoid
            candidates = [
                row
                for row in self._all_candidates(call, tried, results.count)
                if self._is_open(row)
            ]
            best = choose(candidates)
        placed = self._placed(call, progress, results, candidates, best)
        return placed or self._no_endpoint(call)

    def has_sound(
        self, call: ForwardCall, avoid: set[EndpointId], count: int
    ) -> bool:
        """Whether one of the first endpoints for a call is known as sound."""
        now = self._clock()
        peers = self._shortlist.peers(call, avoid, count)
        return any(peer.sound(now) for peer in peers)

    def place_hedge(
        self,
        call: ForwardCall,
        progress: Progress,
        results: ProbeResults,
    ) -> Placed | None:
        """Returns a sound endpoint for an attempt beside a silent one."""
        candidates = [
            row
            for row in results.candidates
            if row.sound and self._is_open(row)
        ]
        best = choose(candidates)
        return self._placed(call, progress, results, candidates, best)

    def _placed(
        self,
        call: ForwardCall,
        progress: Progress,
        results: ProbeResults,
        candidates: list[Candidate],
        best: Candidate | None,
    ) -> Placed | None:
        peer = self._directory.peers.get(best.endpoint) if best else None
        if peer is None:
            return None
        return Placed(
            peer,
            self._dispatch_builder.build(call, peer, progress.seq, results),
            self._costs.unread_tokens(call, peer, results),
            self.answer_timeout_s(call, best.cost),
            tuple(candidates),
            None if peer.load is None else round(peer.load.room(0), 3),
        )

    def is_limited(self, endpoint: EndpointId) -> bool:
        """Whether an endpoint limits when it gets requests, or rests."""
        peer = self._directory.peers.get(endpoint)
        return peer is not None and (
            peer.limit.rate is not None or not peer.rest.may_send(self._clock())
        )

    def admission_request(
        self, call: ForwardCall, endpoint: EndpointId, results: ProbeResults
    ) -> AdmissionRequest:
        """Returns a request for the memory and work of a large call."""
        peer = self._directory.peers[endpoint]
        unread = self._costs.unread_tokens(call, peer, results)
        return AdmissionRequest(endpoint, call.prompt.memory_tokens, unread)

    def answer_timeout_s(self, call: ForwardCall, expected_s: float) -> float:
        """Returns the time after which an unanswered attempt may fail over.

        An endpoint can hang on some requests while it answers others, which
        only a timeout detects. After 1.5 times the target and twice the
        expected time, another endpoint is more likely to answer.
        """
        return max(
            _ANSWER_TIMEOUT_TARGET_RATIO * call.route.target_s,
            2 * expected_s + _ANSWER_TIMEOUT_MARGIN_S,
        )

    def record_sent(
        self,
        call: ForwardCall,
        peer: Peer,
        dispatch: Dispatch,
        unread: int,
        now: float,
    ) -> None:
        """Counts an attempt that is sent to its endpoint."""
        peer.record_sent(now)
        placement = None
        if peer.load is not None and call.prompt is not None:
            peer.load.sent(
                call.name,
                dispatch.cache_namespace,
                call.prompt,
                unread,
                dispatch.priority,
                now,
                call.route.gap_s,
            )
            placement = Placement(
                dispatch.endpoint,
                dispatch.cache_namespace,
                call.prompt.shared,
                peer.listed.born_ms,
            )
            saves = self._dispatch_builder.planned_saves(call.prompt, dispatch)
            if saves:
                self._callbacks.saving(
                    dispatch.endpoint, dispatch.cache_namespace, saves
                )
        self._callbacks.sent(dispatch.endpoint, placement)

    def record_first_event(self, call: ForwardCall, peer: Peer) -> bool:
        """Records that an attempt's prompt has been read.

        Returns:
          whether that measures the pace of its engine.
        """
        if peer.load is None:
            return False
        measured = peer.load.first_event(call.name, self._clock())
        self._callbacks.changed(peer.listed.endpoint)
        return measured

    def record_events(self, call: ForwardCall, peer: Peer, count: int) -> bool:
        """Records events of an attempt's stream, 0 while it is paused.

        Returns:
          whether they measure the pace of its engine.
        """
        return peer.load is not None and peer.load.events(
            call.name, count, self._clock()
        )

    def record_not_run(self, call: ForwardCall, dispatch: Dispatch) -> None:
        """Records that an attempt did not run and never will."""
        if call.prompt is None:
            return
        saves = self._dispatch_builder.planned_saves(call.prompt, dispatch)
        if saves:
            endpoint, namespace = dispatch.endpoint, dispatch.cache_namespace
            self._callbacks.save_cancelled(endpoint, namespace, saves)

    def record_ended(self, call: ForwardCall, peer: Peer) -> None:
        """Removes an ended attempt from the counts of its endpoint."""
        peer.running -= 1
        if peer.load is not None:
            peer.load.ended(call.name)
        self._callbacks.changed(peer.listed.endpoint)

    def record_unreachable(self, peer: Peer) -> None:
        """Records that no connection to an endpoint could be made."""
        peer.unreachable = True
        self._directory.on_unreachable(peer)

    def record_misdirected(
        self, call: ForwardCall, peer: Peer, to: Dispatch, answer: Answer
    ) -> None:
        """Corrects the last known state of an endpoint after a mismatch.

        Either another endpoint has its address, or it has other weights than
        the request expected.
        """
        if answer.instance and answer.instance != to.endpoint:
            self._directory.handle_address_taken(
                peer, EndpointId(answer.instance)
            )
        elif call.prompt is not None:
            model = call.prompt.model
            peer.exclude_weights(model, to.weights)
            peer.record_weights(
                model, self._bounds.only_newer(model, to.weights)
            )
            self._callbacks.changed(to.endpoint)

    def _is_open(self, candidate: Candidate) -> bool:
        """Whether an endpoint still accepts work, which a wait can change."""
        peer = self._directory.peers.get(candidate.endpoint)
        return (
            peer is not None
            and peer.may_send(self._clock())
            and peer.pool.has_capacity
        )

    def lists_version(self, call: ForwardCall) -> bool:
        """Whether endpoints of the version that a call is bound to stay."""
        return call.software is None or self._directory.has_version(
            call.service, call.software
        )

    def _no_endpoint(self, call: ForwardCall) -> Failure:
        """Returns why no endpoint of its service accepts a call."""
        service = call.service
        if not self.lists_version(call):
            # A version that has left does not return in time for a retry.
            return failed(Code.VERSION_GONE, value=call.software)
        if self._directory.is_evacuated(service):
            return failed(Code.EVACUATED, retry_after_s=_EVACUATED_RETRY_S)
        wait_s = self._directory.send_wait_s(service)
        if wait_s is None:
            return failed(Code.NO_ENDPOINT, retry_after_s=1.0)
        if self._directory.is_resting(service):
            after_s = self._returns_from_rest.after_s(wait_s)
            return failed(Code.RESTING, retry_after_s=after_s)
        rate = self._directory.send_limit(service)
        if not rate:
            return failed(Code.COLD, retry_after_s=wait_s)
        after_s = self._returns.after_s(service, wait_s, rate, self._clock())
        return failed(Code.LIMITED, retry_after_s=after_s)

    def _all_candidates(
        self, call: ForwardCall, avoid: set[EndpointId], count: int
    ) -> list[Candidate]:
        """Returns candidates from local state alone."""
        results = ProbeResults(count)
        return [
            self._costs.candidate(call, peer, rank, results)
            for rank, peer in enumerate(
                self._shortlist.peers(call, avoid, count)
            )
        ]

    def _reserved(
        self, candidates: list[Candidate], admitted_by: EndpointId | None
    ) -> Candidate | None:
        """Returns the candidate that has reserved memory, if it is healthy."""
        peer = self._directory.peers.get(admitted_by) if admitted_by else None
        now = self._clock()
        if not peer or not peer.may_send(now) or not peer.sound(now):
            return None
        return next(
            (row for row in candidates if row.endpoint == admitted_by), None
        )
