"""The gateway's application object: wires its parts and serves requests."""

import secrets
import traceback
from collections.abc import Callable
from random import Random

import msgspec

from magnolialug.background import background
from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.carrier.pool import Address
from magnolialug.config.routing import CallerLimits, RouteType, Routing
from magnolialug.entry.callermemory import CallerMemory
from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.candidateprober import CandidateProber
from magnolialug.entry.connectiongate import ConnectionGate
from magnolialug.entry.connectionlimit import ConnectionLimit, max_connections
from magnolialug.entry.costestimator import CostEstimator
from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatchbuilder import DispatchBuilder
from magnolialug.entry.entrycount import COUNT_KEY, EntryCount
from magnolialug.entry.entrymembership import (
    ENTRIES_PREFIX,
    EntryMembership,
    EntryRegistration,
)
from magnolialug.entry.evacuations import Evacuations
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaycall import CallContext, GatewayCall
from magnolialug.entry.gatewaychannel import GatewayFactory, GatewayRequest
from magnolialug.entry.gatewayintake import read_call, read_head
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.entry.gauges import (
    observe_endpoints,
    observe_states,
    observe_tasks,
)
from magnolialug.entry.graceperiod import READINESS_NOTICE_S, GracePeriod
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.keepalive import KeepAlive
from magnolialug.entry.livenessmonitor import LivenessMonitor
from magnolialug.entry.peermessenger import PeerMessenger
from magnolialug.entry.placer import AttemptCallbacks, Placer
from magnolialug.entry.registry import Registry
from magnolialug.entry.registrycopy import RegistryCopy
from magnolialug.entry.retryloop import ServingContext
from magnolialug.entry.rolloutcommands import RolloutCommands
from magnolialug.entry.rolloutlease import LEADER_KEY, RolloutLease
from magnolialug.entry.routeconfig import RouteConfig
from magnolialug.entry.ticker import TICK_INTERVAL_S, Step, Ticker
from magnolialug.entry.watchclient import WatchClient
from magnolialug.events import Event, emit, explain
from magnolialug.guard import Guard
from magnolialug.ids import RequestDigest
from magnolialug.owners.wiring import Ownership
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.platform.enginecalls import EngineCalls
from magnolialug.platform.kv import Kv
from magnolialug.platform.operator import EVACUATION_PREFIX, OPERATOR_PREFIX
from magnolialug.platform.registry import REGISTRY_PREFIX
from magnolialug.platform.settings import Settings
from magnolialug.policy.memorybudget import MemoryBudget, budget_bytes
from magnolialug.policy.retry import Backoff, Budget
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.weightbounds import WeightBounds
from magnolialug.prefixcache.wiring import PrefixCache
from magnolialug.preview.previewer import Previewer, PreviewSources
from magnolialug.quarantine.quarantinelist import QUARANTINE_KEYS
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.restarts.wiring import Restarts
from magnolialug.result import Code, Failure, failed
from magnolialug.streamorigins.wiring import StreamOrigins
from magnolialug.supervisedtask import SupervisedTask
from magnolialug.timing import sleep

__all__ = ["Gateway"]

# Share of the settings' limit on accumulated retries that entries use. A
# restarted entry starts with a full budget, and entries can disagree for a
# while on how many they are; half leaves room for both.
_RETRY_LIMIT_SHARE = 0.5
# Share of the settings' ratio of retries to requests that entries use. Neither
# restarts nor the number of entries change what all entries earn together.
_RETRY_RATIO_SHARE = 0.9
# A watch returns at once when a key changes, and after this time when none
# does. A dead network path is detected by the kernel's probes, not by this.
_WATCH_TIMEOUT_S = 25.0
# Shortest and longest pause between watch calls while many keys change, so that
# one call returns several changes. A leaving endpoint and a new configuration
# must both be known within two seconds.
_WATCH_PAUSES_S = (0.25, 1.0)
# What a part of a prompt costs besides its bytes in the head.
_PART_BYTES = 400
# As much of an answer that is not a stream is gathered before it is passed on.
_GATHERED_BYTES = 64 * 1024
# All keys that gateways write.
_OWN_PREFIX = "magnolialug/"
# Changes of these keys are also read while a long configuration arrives.
_URGENT_PREFIXES = (EVACUATION_PREFIX, REGISTRY_PREFIX, _OWN_PREFIX)
_DRAIN_POLL_INTERVAL_S = 0.05
# First and longest pause before a retry. A retry goes to another machine, so a
# pause only serves against retry storms, which the retry budget limits already.
_RETRY_PAUSES_S = (0.004, 0.1)


class Gateway:
    """Forwards callers' requests to endpoints.

    All of its state may be lost at any time: routes and endpoints are read
    from the key-value service, and the rest is observed again.

    Args:
      reactor: provides connections and time.
      kv: the platform's key-value service.
      calls: reads reports of engines and sends them rollout commands.
      cache_calls: reads which cached parts the stores hold.

    Attributes:
      previewer: explains to operators where requests would go.
    """

    def __init__(
        self,
        settings: Settings,
        reactor,
        kv: Kv,
        random: Random,
        metrics: GatewayMetrics,
        calls: EngineCalls,
        cache_calls: CacheCalls,
    ):
        self.settings = settings
        self.clock: Callable[[], float] = reactor.seconds
        self.metrics = metrics
        self._monitor = PeerMonitor(reactor.seconds, reactor.callLater)
        self.directory = Directory(
            reactor,
            lambda: metrics.connections_made.add(1),
            self._monitor,
            settings.bounds.drain_s,
            lambda: self._watch_client.unheard_since,
        )
        self.routes = RouteConfig(self._apply_routing)
        self.registry = Registry(
            self.directory,
            reactor,
            settings.heartbeat_s,
            lambda: self._watch_client.revision_of(REGISTRY_PREFIX),
        )
        self._grace = GracePeriod(
            reactor.seconds, lambda: self.settings.bounds.grace_s
        )
        self._memory = CallerMemory(
            MemoryBudget(budget_bytes(settings.memory_mb)),
            lambda: self.factory.channels,
            reactor.seconds,
            lambda: metrics.callers_gave_way.add(1, {"reason": "memory"}),
        )
        self.factory = GatewayFactory(
            self.handle,
            self.check_head,
            self.record_refusal,
            self._limits,
            self._memory,
            self._monitor,
            KeepAlive(lambda: self._limits().idle_s, self._grace),
            metrics,
            reactor.seconds,
            reactor.callLater,
            lambda: self._connection_gate.accepts(),
        )
        self._calls: set[GatewayCall] = set()
        self._reactor = reactor
        self._entry_count = EntryCount(kv, reactor)
        self._entries = self._entry_membership(kv, reactor, random)
        own_address = (settings.host, settings.internal_port)
        self.messenger = PeerMessenger(own_address, reactor)
        self._evacuations = Evacuations(
            settings.zones,
            self.directory.evacuate,
            lambda: self._watch_client.revision_of(EVACUATION_PREFIX),
            reactor.seconds,
        )
        self.owners = Ownership(
            own_address,
            self.directory,
            self._evacuations,
            self.messenger,
            reactor,
        )
        self._connection_gate = ConnectionGate(
            self.owners.saturation,
            lambda: len(self.factory.channels),
            ConnectionLimit(
                self.factory.channels,
                max_connections(settings.descriptors),
                reactor.seconds,
                lambda: metrics.callers_gave_way.add(
                    1, {"reason": "descriptors"}
                ),
            ),
            metrics,
            reactor.seconds,
        )
        self.quarantine = Quarantine(
            self.owners.ring,
            self.messenger,
            kv,
            reactor,
            self._cancel_attempts,
            lambda: self._in_flight,
        )
        self._origins = StreamOrigins(
            self.owners.ring,
            self.owners.pending_queries,
            self.directory.software,
            self._registry_copy(reactor),
            self.messenger,
            reactor,
        )
        self._restarts = Restarts(
            self.directory,
            self.owners.ring,
            self.messenger,
            lambda source: metrics.wrong_starts.add(1, {"learned": source}),
            reactor,
        )
        self._bounds = WeightBounds(settings.bounds.weights_s)
        self.prefix_cache = PrefixCache(
            self.owners,
            cache_calls,
            self._newest_version,
            self.directory.engine_weights,
            self.messenger,
            reactor,
            random,
        )
        candidates = CandidateList(
            self.directory, settings.zone, self._bounds, reactor.seconds
        )
        costs = CostEstimator(
            settings.zone, self.prefix_cache.store_map, reactor.seconds
        )
        reporter = self.owners.load_reporter
        self._placer = Placer(
            self.directory,
            candidates,
            costs,
            DispatchBuilder(
                costs,
                self.prefix_cache.store_map,
                self._newest_version,
                reactor.seconds,
            ),
            AttemptCallbacks(
                reporter.sent,
                reporter.changed,
                self.prefix_cache.queries.save,
                self.prefix_cache.queries.cancel_save,
            ),
            self._bounds,
            reactor.seconds,
        )
        self._prober = CandidateProber(
            candidates,
            costs,
            self.owners.load_queries,
            self.prefix_cache.queries,
            reactor.seconds,
        )
        self._in_flight: set[HttpAttempt] = set()
        self._silence = LivenessMonitor(self.directory, calls, reactor.seconds)
        self._budget = self._new_budget()
        self._context = self._call_context(random)
        self.previewer = self._new_previewer()
        self._lease = RolloutLease(
            kv,
            settings.vm,
            reactor,
            random,
            settings.bounds.lease_s,
            self._apply_rollout,
            self.owners.ring.rank,
        )
        self._rollout_commands = RolloutCommands(
            self.directory,
            self._lease,
            calls,
            reactor.seconds,
            lambda: self.routes.weights,
            lambda reply: metrics.orders.add(1, {"reply": reply.value}),
            self.owners.load_reporter.changed,
        )
        self._watch_client = WatchClient(
            kv,
            {
                OPERATOR_PREFIX: self.routes,
                EVACUATION_PREFIX: self._evacuations,
                # Before the endpoints: all entries share the request rate that
                # a cold endpoint allows.
                COUNT_KEY: self._entry_count,
                ENTRIES_PREFIX: self._entries,
                REGISTRY_PREFIX: self.registry,
                QUARANTINE_KEYS: self.quarantine.quarantined,
                LEADER_KEY: self._lease,
            },
            reactor,
            random,
            _WATCH_TIMEOUT_S,
            _WATCH_PAUSES_S,
            _URGENT_PREFIXES,
        )
        self._ticker = self._new_ticker()

    @property
    def in_progress(self) -> int:
        """How many calls have not ended."""
        return len(self._calls)

    def start(self) -> None:
        """Starts reading routes and endpoints."""
        self._register_gauges()
        self._watch_client.start()
        self._lease.start()
        self._entries.start()
        self._ticker.start()
        emit(Event.STARTED, vm=self.settings.vm, zone=self.settings.zone)

    def reload(self, settings: Settings | Failure) -> None:
        """Applies changed settings; an invalid file changes nothing.

        Only the bounds and the memory are applied. Addresses and the zone stay
        as they were at the start: a process cannot move, and the platform
        starts a new one instead.
        """
        if isinstance(settings, Failure):
            emit(
                Event.SETTINGS_REFUSED,
                field=settings.field,
                **explain(settings),
            )
            return
        self.settings = msgspec.structs.replace(
            self.settings,
            bounds=settings.bounds,
            memory_mb=settings.memory_mb,
        )
        self._memory.budget.limit_bytes = budget_bytes(settings.memory_mb)
        budget = self._new_budget()
        self._budget.ratio = budget.ratio
        self._budget.limit = budget.limit
        self._bounds.bound_s = settings.bounds.weights_s
        emit(Event.RELOADED, vm=settings.vm)

    def ready(self) -> bool:
        """Returns whether the load balancer may send callers.

        Without its watch a gateway serves by what was in force when the watch
        failed, so callers are better off at others until it has begun again.
        """
        return (
            not self._grace.begun
            and self.routes.table is not None
            and self.registry.known
            and not self._watch_client.task.is_down
        )

    def failing(self) -> list[str]:
        """Returns what fails now, for the readiness answer."""
        down = [task.name for task in self._tasks() if task.is_down]
        return down + sorted(self._ticker.guard.failing)

    def record_full_listener(self, listener: str) -> None:
        """Counts and logs a connection that gave way at another listener."""
        self.metrics.callers_gave_way.add(1, {"reason": listener})
        emit(Event.LISTENER_FULL, listener=listener)

    def _tasks(self) -> list[SupervisedTask]:
        """Returns the long-lived tasks."""
        return [
            self._watch_client.task,
            self._entries.task,
            self._lease.task,
            *self.prefix_cache.store_pollers.tasks.values(),
        ]

    async def stop(self) -> int:
        """Finishes the accepted calls within the platform's grace period.

        Idle connections are kept for the time that their callers were told.

        Returns:
          the number of calls that were still in progress.
        """
        self._grace.begin()
        emit(Event.DRAINING, vm=self.settings.vm, running=self.in_progress)
        background("rollout lease stop", self._lease.stop())
        background("registration stop", self._entries.stop())
        await sleep(self._reactor, READINESS_NOTICE_S)
        while self.clock() < self._grace.end:
            if not self.in_progress and not self.factory.channels:
                break
            if self.clock() >= self._grace.calls_end:
                self._answer_all()
            await sleep(self._reactor, _DRAIN_POLL_INTERVAL_S)
        if self.in_progress:
            self._answer_all()
            await sleep(self._reactor, _DRAIN_POLL_INTERVAL_S)
        self._monitor.stop()
        self._watch_client.stop()
        self.prefix_cache.stop()
        self.owners.stop()
        self._ticker.stop()
        event = Event.STOP_FORCED if self.in_progress else Event.STOPPED
        emit(event, vm=self.settings.vm, left=self.in_progress)
        return self.in_progress

    def _answer_all(self) -> None:
        """Gives each request that waits its last answer before the end."""
        for call in list(self._calls):
            call.end_for_stop()
        for channel in list(self.factory.channels):
            if channel.reading:
                channel.refuse(failed(Code.DRAINING, retry_after_s=0.1))

    def handle(self, req: GatewayRequest) -> None:
        """Serves one complete request."""
        sink = GatewaySink(req)
        call = self._read_call(req)
        if isinstance(call, ForwardCall):
            call = _reserve(req, call) or call
        if isinstance(call, Failure):
            req.release()
            self.record_refusal(req, call)
            sink.refuse(call)
            return

        def on_done() -> None:
            self._calls.discard(serving)
            req.release()

        serving = GatewayCall(self._context, call, sink, on_done)
        self._calls.add(serving)
        serving.start(req)

    def _entry_membership(
        self, kv: Kv, reactor, random: Random
    ) -> EntryMembership:
        settings = self.settings
        row = EntryRegistration(
            settings.host,
            settings.internal_port,
            settings.zone,
            settings.cores,
        )
        return EntryMembership(
            kv,
            settings.vm,
            row,
            reactor,
            random,
            self._entry_count,
            self._apply_entry_count,
        )

    def _registry_copy(self, reactor) -> RegistryCopy:
        def count(succeeded: bool) -> None:
            result = "confirmed" if succeeded else "failed"
            self.metrics.registry_reads.add(1, {"result": result})

        return RegistryCopy(
            lambda: self._watch_client.catch_up(),
            lambda: self._watch_client.revision_of(REGISTRY_PREFIX),
            lambda: self._watch_client.has_unreported,
            self.settings.store.reads_per_s,
            lambda: self.directory.entries,
            reactor,
            count,
        )

    def _call_context(self, random: Random) -> CallContext:
        metrics = self.metrics
        return CallContext(
            serving=ServingContext(
                budget=self._budget,
                on_retry=lambda service: metrics.retries.add(
                    1, {"service": service}
                ),
                clock=self._reactor,
                random=random,
                new_hex=lambda: secrets.token_hex(8),
                backoff=lambda: Backoff(*_RETRY_PAUSES_S),
            ),
            placer=self._placer,
            prober=self._prober,
            admission=self.owners.admission_client,
            quarantine=self.quarantine,
            origins=self._origins,
            in_flight=self._in_flight,
            clock=self.clock,
            metrics=metrics,
        )

    def _new_previewer(self) -> Previewer:
        return Previewer(
            PreviewSources(
                self.settings.vm,
                self.settings.zone,
                self.directory,
                self._bounds,
                self.owners,
                self.prefix_cache,
                self._newest_version,
                self._context,
                lambda: self.routes.table,
                lambda: self.registry.known,
                self._admit,
                self._reactor,
            )
        )

    def _read_call(self, req: GatewayRequest) -> ForwardCall | Failure:
        """Returns the call of a request, or why it is refused."""
        try:
            return self._admit(req)
        except Exception as exc:
            emit(
                Event.TASK_FAILED,
                task="request intake",
                traceback=traceback.format_exc(),
            )
            return failed(Code.UNREADABLE_REQUEST, type(exc).__name__)

    def check_head(self, req: GatewayRequest) -> Failure | None:
        """Returns why a request is refused before its body is read, if it is.

        What was read of the head is kept for when the body is complete.
        """
        failure = self._why_closed()
        if failure is not None:
            return failure
        head = read_head(req, self.routes.table)
        if isinstance(head, Failure):
            return head
        req.admitted = head
        return None

    def _why_closed(self) -> Failure | None:
        """Returns why no request is accepted at all, None if some are."""
        if self.routes.table is None:
            return failed(Code.CONFIG_MISSING, retry_after_s=0.5)
        if not self._grace.accepts_calls:
            return failed(Code.DRAINING, retry_after_s=0.1)
        return None

    def _admit(self, req: GatewayRequest) -> ForwardCall | Failure:
        closed = self._why_closed()
        if closed is not None:
            return closed
        call = read_call(req, self.routes.table, self.clock())
        return (
            call
            if isinstance(call, Failure)
            else self._grace.limit_deadline(call)
        )

    def record_refusal(
        self, req: GatewayRequest | None, failure: Failure
    ) -> None:
        """Counts and logs a request that is refused before it is a call.

        Args:
          req: None if not even its first line was read.
        """
        self.metrics.refusals.add(1, {"code": failure.code.name})
        emit(
            Event.REQUEST_FAILED,
            request=(req.getHeader("x-request-id") or "")[:64] if req else "",
            path=req.uri.decode("latin-1")[:80] if req else "",
            field=failure.field,
            **explain(failure),
        )

    def _register_gauges(self) -> None:
        """Registers the gauges."""
        observe_states(
            self.metrics,
            {
                "in_progress": lambda: self.in_progress,
                "connections_deferred": lambda: (
                    self.factory.scheduler.waiting_count
                ),
                "caller_memory_bytes": lambda: self._memory.budget.held_bytes,
                "caller_memory_limit_bytes": lambda: (
                    self._memory.budget.limit_bytes
                ),
                "caller_connections": lambda: len(self.factory.channels),
                "config_version": lambda: self.routes.version,
                "ready": lambda: int(self.ready()),
                "order_lease_held": lambda: int(self._lease.held),
                "entries": lambda: self.directory.entries,
                "requests_quarantined": lambda: len(
                    self.quarantine.quarantined
                ),
                "kv_in_touch": lambda: int(self._watch_client.is_connected),
            },
        )
        observe_tasks(self.metrics, self._tasks, self._guards)
        observe_endpoints(
            self.metrics,
            self.directory,
            self.owners,
            self.prefix_cache,
            self._budget.left,
            self.clock,
        )

    def _guards(self) -> list[Guard]:
        return [
            self._ticker.guard,
            self._monitor.guard,
            self._watch_client.guard,
            self.registry.guard,
            self.messenger.guard,
            self.owners.admission_client.guard,
            self.owners.admission_queues.guard,
        ]

    def _cancel_attempts(self, _: RequestDigest) -> None:
        """Aborts the attempts of requests that are now quarantined."""
        for attempt in list(self._in_flight):
            if self.quarantine.refusal(attempt.identity):
                attempt.abort_unless_started()

    def _apply_routing(self, routing: Routing) -> None:
        self.directory.configure(routing)
        self.registry.configure(routing)
        self.prefix_cache.configure(routing)

    def _apply_rollout(self, rollout: Rollout, own: bool) -> None:
        """Applies the leader's choice of engines that load weights now."""
        self.directory.update_rollout(rollout)
        if own:
            self.owners.load_reporter.announce_rollout(rollout)

    def _newest_version(self, model: str) -> int:
        """Returns the newest known weight version of a model.

        An entry that is cut off from the key-value service learns the version
        from the rollout state that other entries send.
        """
        named = self.routes.weights.get(model, 0)
        rollout = self.directory.rollout
        if rollout is not None and rollout.model == model:
            return max(named, rollout.version)
        return named

    def _record_newest_versions(self, now: float) -> None:
        """Records when each model's newest version was first known."""
        rollout = self.directory.rollout
        models = {rollout.model} if rollout is not None else set()
        for model in models.union(self.routes.weights):
            self._bounds.record_version(model, self._newest_version(model), now)

    def _apply_entry_count(
        self, members: dict[Address, float], sharing: set[Address], count: int
    ) -> None:
        self.owners.entries(members)
        own_address = (self.settings.host, self.settings.internal_port)
        rank = sum(address < own_address for address in sharing)
        self.directory.set_entry_count(count, rank)
        budget = self._new_budget()
        self._budget.limit = budget.limit

    def _limits(self) -> CallerLimits:
        table = self.routes.table
        return table.routing.limits if table else CallerLimits()

    def _new_budget(self) -> Budget:
        bounds = self.settings.bounds
        return Budget(
            ratio=bounds.retry_ratio * _RETRY_RATIO_SHARE,
            limit=bounds.retry_extra
            * _RETRY_LIMIT_SHARE
            / self.directory.entries,
        )

    def _new_ticker(self) -> Ticker:
        steps: tuple[Step, ...] = (
            (
                "connection gate",
                lambda now: self._connection_gate.tick(now, TICK_INTERVAL_S),
            ),
            ("attempts", self._sweep_attempts),
            ("liveness", lambda _: self._silence.tick(self._in_flight)),
            ("caller timeouts", self.factory.check_timeouts),
            ("caller memory", self._memory.tick),
            ("caller reads", self.factory.scheduler.tick),
            ("registry", lambda _: self.registry.tick()),
            ("entries", lambda _: self._entries.tick()),
            ("newest versions", self._record_newest_versions),
            ("rollout", lambda _: self._rollout_commands.tick()),
            ("owners", self.owners.tick),
            ("quarantine", self.quarantine.tick),
            ("stream origins", self._origins.tick),
            ("restarts", self._restarts.tick),
        )
        clean_ups: tuple[Step, ...] = (
            ("prefix cache", self.prefix_cache.tick),
            ("directory", lambda _: self.directory.trim()),
        )
        return Ticker(self._reactor, steps, clean_ups)

    def _sweep_attempts(self, now: float) -> None:
        """Checks all attempts; one that raises is ended."""
        for attempt in list(self._in_flight):
            exc = self._ticker.guard.call("attempt", attempt.sweep, now)
            if exc is not None:
                self._in_flight.discard(attempt)
                attempt.fail(exc)


def _reserve(req: GatewayRequest, call: ForwardCall) -> Failure | None:
    """Counts what a call holds; returns why there is no room for it."""
    parts = len(call.prompt.parts) if call.prompt is not None else 0
    is_stream = call.route.form is RouteType.STREAMING
    return req.reserve(parts * _PART_BYTES, 0 if is_stream else _GATHERED_BYTES)
