"""Explains where requests would go, for the operators of a gateway."""

from collections.abc import Callable, Mapping, Sequence

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import Routing
from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.costestimator import CostEstimator
from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatchbuilder import DispatchBuilder
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaycall import CallContext
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.placer import AttemptCallbacks, Placed, Placer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import EndpointId, ZoneId
from magnolialug.owners.wiring import Ownership
from magnolialug.policy.choice import Candidate
from magnolialug.policy.routes import RouteTable
from magnolialug.policy.weightbounds import WeightBounds
from magnolialug.prefixcache.queryclient import PartQueryClient
from magnolialug.prefixcache.wiring import PrefixCache
from magnolialug.preview.briefqueries import BriefQueries
from magnolialug.preview.explanation import (
    Basis,
    Compared,
    Explanation,
    Outcome,
    PassedOver,
    QueuedAt,
    Refusal,
    reason_for,
)
from magnolialug.preview.previewrunner import (
    PreviewRunner,
    RecordedAdmission,
    RecordingProber,
)
from magnolialug.preview.request import (
    CallerRequest,
    PreviewRequest,
    as_caller,
    read_preview,
)
from magnolialug.preview.scratchdirectory import (
    MAX_COMPARED,
    ScratchDirectory,
    ScratchPeer,
)
from magnolialug.result import Code, Failure, failed

__all__ = ["Previewer", "PreviewSources"]

# A preview asks owners as often as a request does.
_MAX_AT_ONCE = 2
_RETRY_AFTER_S = 0.1
_DIGEST_NOTE = (
    "no digest was given: a quarantine of this one request is not seen"
)
_WAIT_NOTE = "whether a wait would be in time, its owners tell only a request"
_CUT_NOTE = f"a preview compares the first {MAX_COMPARED} endpoints at most"


class PreviewSources(msgspec.Struct, frozen=True):
    """What a preview reads of its gateway.

    Attributes:
      is_known: whether the configuration and the endpoints are known.
      admit: returns the call of a caller's request, or its early refusal.
    """

    vm: str
    zone: ZoneId
    directory: Directory
    bounds: WeightBounds
    owners: Ownership
    prefix_cache: PrefixCache
    newest_version: Callable[[str], int]
    context: CallContext
    table: Callable[[], RouteTable | None]
    is_known: Callable[[], bool]
    admit: Callable[[CallerRequest], ForwardCall | Failure]
    clock: IReactorTime


class Previewer:
    """Makes a few previews at once."""

    def __init__(self, sources: PreviewSources):
        self._sources = sources
        self._metrics = GatewayMetrics()
        self._running = 0

    async def explain(
        self, params: Mapping[bytes, Sequence[bytes]]
    ) -> Explanation | Failure:
        """Returns where a request would go, or why that is not answered.

        Args:
          params: the request, as query parameters.
        """
        request = read_preview(params)
        if isinstance(request, Failure):
            return request
        table = self._sources.table()
        if table is None or not self._sources.is_known():
            return failed(
                Code.CONFIG_MISSING,
                "the gateway is not ready: it has no configuration or no"
                " endpoints yet",
                retry_after_s=0.5,
            )
        if self._running >= _MAX_AT_ONCE:
            return failed(Code.TOO_MANY_PREVIEWS, retry_after_s=_RETRY_AFTER_S)
        self._running += 1
        try:
            return await self._explain(request, table)
        finally:
            self._running -= 1

    async def _explain(
        self, request: PreviewRequest, table: RouteTable
    ) -> Explanation:
        sent = as_caller(request, table)
        call = sent if isinstance(sent, Failure) else self._sources.admit(sent)
        if isinstance(call, Failure):
            return Explanation(
                self._sources.vm,
                Outcome.REFUSED,
                call.reason,
                route=request.route,
                refusal=Refusal.of(call),
            )
        if request.priority is not None:
            call = msgspec.structs.replace(call, priority=request.priority)
        if request.digest:
            call = msgspec.structs.replace(call, digest=request.digest)
        preview = _Preview(self._sources, self._metrics, call)
        return await preview.explain(request, table.routing)


class _Preview:
    """One preview: what decides, wired to copies of what is known."""

    def __init__(
        self,
        sources: PreviewSources,
        metrics: GatewayMetrics,
        call: ForwardCall,
    ):
        self._sources = sources
        self._call = call
        self._now = sources.clock.seconds
        stores = sources.prefix_cache.store_map
        pending = BriefQueries(sources.owners.pending_queries, sources.clock)
        self._directory = ScratchDirectory(sources.directory)
        self._shortlist = CandidateList(
            self._directory, sources.zone, sources.bounds, self._now
        )
        self._costs = CostEstimator(sources.zone, stores, self._now)
        self._dispatches = DispatchBuilder(
            self._costs, stores, sources.newest_version, self._now
        )
        placer = Placer(
            self._directory,
            self._shortlist,
            self._costs,
            self._dispatches,
            AttemptCallbacks(*map(_never, AttemptCallbacks.__struct_fields__)),
            sources.bounds,
            self._now,
        )
        self._prober = RecordingProber(
            self._shortlist,
            self._costs,
            sources.owners.load_queries.for_preview(pending),
            PartQueryClient(
                sources.owners.ring,
                stores,
                pending,
                _never("send"),
                self._now,
            ),
            self._now,
        )
        self._admission = RecordedAdmission()
        self._context = msgspec.structs.replace(
            sources.context,
            placer=placer,
            prober=self._prober,
            admission=self._admission,
            metrics=metrics,
        )

    async def explain(
        self, request: PreviewRequest, routing: Routing
    ) -> Explanation:
        """Returns where the call would go, and what that rests on."""
        runner = PreviewRunner(self._context, self._call, request.avoid)
        placed = await runner.place()
        call, results = self._call, self._prober.results or ProbeResults()
        chosen = self._chosen(placed)
        rows = placed.compared if chosen else tuple(results.candidates)
        rows = sorted(rows, key=lambda row: (row.cost, row.endpoint))
        return Explanation(
            vm=self._sources.vm,
            outcome=self._outcome(chosen),
            reason=self._reason(placed, chosen, results),
            route=call.route.name,
            service=call.service,
            team=call.team,
            priority=call.priority,
            endpoint=chosen.endpoint if chosen else EndpointId(""),
            refusal=self._refusal(placed),
            queues=tuple(
                QueuedAt(row.endpoint, row.tokens, row.unread)
                for row in self._admission.requests or ()
            ),
            queued_work_s=self._admission.queued_work_s,
            compared=tuple(self._compared(row, results) for row in rows),
            passed_over=self._passed_over(rows, set(request.avoid)),
            basis=_basis(rows, results),
            notes=self._notes(request, routing),
        )

    def _chosen(self, placed: Placed | Failure) -> Candidate | None:
        if isinstance(placed, Failure):
            return None
        endpoint = placed.peer.listed.endpoint
        return next(r for r in placed.compared if r.endpoint == endpoint)

    def _outcome(self, chosen: Candidate | None) -> Outcome:
        if chosen is not None:
            return Outcome.SENT
        waits = self._admission.requests is not None
        return Outcome.WAITS if waits else Outcome.REFUSED

    def _refusal(self, placed: Placed | Failure) -> Refusal | None:
        if isinstance(placed, Placed) or self._admission.requests is not None:
            return None
        return Refusal.of(placed)

    def _reason(
        self,
        placed: Placed | Failure,
        chosen: Candidate | None,
        results: ProbeResults,
    ) -> str:
        if self._admission.requests is not None:
            return "no sound engine would take it now"
        if chosen is None:
            return placed.reason
        if all(r.endpoint != chosen.endpoint for r in results.candidates):
            return f"{reason_for(chosen)}; none of those asked may be sent to"
        return reason_for(chosen)

    def _compared(self, row: Candidate, results: ProbeResults) -> Compared:
        peer = self._directory.copies[row.endpoint]
        now = self._now()
        state = results.states.get(row.endpoint)
        compared = Compared(
            endpoint=row.endpoint,
            zone=peer.listed.zone,
            state=peer.state(now),
            candidate=msgspec.structs.asdict(row),
            running=peer.total_running(now),
            reply_age_ms=_age_ms(peer, now),
        )
        load, prompt = peer.load, self._call.prompt
        if load is None or prompt is None:
            return compared
        unread = self._costs.unread_tokens(self._call, peer, results)
        dispatch = self._dispatches.build(self._call, peer, 0, results)
        names = [part.name for part in prompt.shared]
        first_event_s = load.first_event_s(self._call.priority, unread)
        return msgspec.structs.replace(
            compared,
            running=load.running + (state.running if state else 0),
            weights=dispatch.weights,
            pending_prefill=state.pending_prefill if state else (),
            writing=state.writing if state else 0,
            waiting=state.waiting if state else 0,
            held_share=round(1.0 - load.room(0), 4),
            ahead_s=round(load.ahead_s(self._call.priority), 4),
            first_event_s=round(first_event_s, 4),
            unread=unread,
            tokens_per_s=round(load.measured_rate),
            keeps_pauses=load.admits_prefill(unread),
            cached_parts=self._costs.held_parts(self._call, peer, results),
            sources=tuple(zip(names, dispatch.sources, strict=True)),
        )

    def _passed_over(
        self, rows: list[Candidate], avoid: set[EndpointId]
    ) -> tuple[PassedOver, ...]:
        """Returns the endpoints that were looked at and may get nothing."""
        compared = {row.endpoint for row in rows}
        copies = self._directory.copies
        seen = [name for name in copies if name not in compared]
        usable = {
            peer.listed.endpoint
            for peer in self._shortlist.usable(self._call, avoid, seen)
        }
        now = self._now()
        found = []
        for name in seen:
            peer = copies[name]
            if name in avoid:
                found.append(PassedOver(name, "to be avoided"))
            elif not peer.pool.has_capacity:
                found.append(PassedOver(name, "no connection left"))
            elif name not in usable or not peer.limit.may_send(now):
                state = peer.state(now)
                why = "software or weights do not fit"
                found.append(PassedOver(name, why if state == "up" else state))
        return tuple(found)

    def _notes(
        self, request: PreviewRequest, routing: Routing
    ) -> tuple[str, ...]:
        notes = []
        if not request.digest:
            notes.append(_DIGEST_NOTE)
        if len(self._call.route.shares) > 1:
            shares = self._call.route.shares
            notes.append(
                f"the route is split over {len(shares)} services by request id"
            )
        if self._admission.requests is not None:
            notes.append(_WAIT_NOTE)
        if self._directory.is_cut(self._call.service):
            notes.append(_CUT_NOTE)
        return tuple(notes)


def _age_ms(peer: ScratchPeer, now: float) -> int | None:
    if peer.replied_at is None:
        return None
    return round((now - peer.replied_at) * 1000)


def _basis(rows: list[Candidate], results: ProbeResults) -> Basis | None:
    if not rows:
        return None
    reported = sum(row.endpoint in results.states for row in rows)
    if reported == len(rows):
        return Basis.OWNERS
    return Basis.SOME_OWNERS if reported else Basis.OWN_KNOWLEDGE


def _never(name: str) -> Callable[..., None]:
    """Returns a callback that a preview must not reach."""

    def called(*_: object) -> None:
        raise RuntimeError(f"a preview has called {name}")

    return called
