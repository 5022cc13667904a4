"""The gateway's application object: routes, teams, serving, draining."""

import secrets
from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.defer import ensureDeferred

from magnolialug.carrier.pool import Address
from magnolialug.config.routing import CallerLimits, Routing
from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.candidateprober import CandidateProber
from magnolialug.entry.costestimator import CostEstimator
from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatchbuilder import DispatchBuilder
from magnolialug.entry.entrybook import ENTRIES_PREFIX, EntryBook, EntryRow
from magnolialug.entry.evacuations import Evacuations
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaycall import CallMeans, GatewayCall
from magnolialug.entry.gatewaychannel import GatewayFactory, GatewayRequest
from magnolialug.entry.gatewayintake import read_call
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.entry.gauges import observe_endpoints, observe_states
from magnolialug.entry.grace import NOTICED_S, Grace
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.livenessmonitor import LivenessMonitor
from magnolialug.entry.peertalk import PeerTalk
from magnolialug.entry.placer import AttemptCallbacks, Placer
from magnolialug.entry.registry import Registry
from magnolialug.entry.retryloop import ServingContext
from magnolialug.entry.rolloutcommands import RolloutCommands
from magnolialug.entry.rolloutlease import LEADER_KEY, RolloutLease
from magnolialug.entry.routebook import RouteBook
from magnolialug.entry.watchclient import WatchClient
from magnolialug.events import Event, emit, explain
from magnolialug.ids import RequestDigest
from magnolialug.owners.wiring import Ownership
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.platform.enginecalls import EngineCalls
from magnolialug.platform.kv import Kv
from magnolialug.platform.operator import EVACUATION_PREFIX, OPERATOR_PREFIX
from magnolialug.platform.registry import REGISTRY_PREFIX
from magnolialug.platform.settings import Settings
from magnolialug.policy.retry import Backoff, Budget
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.weightbounds import WeightBounds
from magnolialug.prefixcache.wiring import PrefixCache
from magnolialug.quarantine.quarantinelist import QUARANTINE_KEYS
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep

__all__ = ["Gateway"]

# How often times are looked at: a deadline is met this much late at worst.
_TICK_S = 0.05
# What is over is looked for this often: idle connections whose time is over,
# word that is no longer believed, stores whose owner is another entry now.
_TIDY_S = 0.25
# Of the retries that may be saved up, the part that is used. A restarted entry
# begins with a full share, and entries disagree for a while on how many they
# are; half leaves room for both.
_SAVED_SHARE = 0.5
# Of the retries that requests earn, the part that is used. Neither restarts nor
# the number of entries change what all entries earn together.
_EARNED_SHARE = 0.9
# Watches return at once when something changes; this long when nothing does.
# A path that has gone silent is noticed by the kernel's probes, not by this.
_WATCH_S = 25.0
# What changes within such pauses is fetched with one call. A leaving endpoint
# must be known within two seconds, and so must a configuration.
_PACE_S = (0.25, 1.0)
# All keys that gateways write.
_OWN_PREFIX = "magnolialug/"
# Keys whose changes do not wait behind a long configuration.
_URGENT = (EVACUATION_PREFIX, REGISTRY_PREFIX, _OWN_PREFIX)
_DRAIN_STEP_S = 0.05
# First and longest pause before a request goes to another endpoint. That one
# is another machine, so there is nothing to wait for but a retry storm, and
# the budget bounds that.
_BACKOFF_S = (0.004, 0.1)


class Gateway:
    """Passes callers' requests on to endpoints.

    Everything it holds may be lost at any time: routes and endpoints are
    read from the key-value service, the rest is learned again.

    Args:
      reactor: for connections and time.
      kv: the platform's key-value service.
      calls: reports of engines, and orders to them.
      cache_calls: what the stores of cache parts say.
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
        self.directory = Directory(
            reactor,
            lambda: metrics.connections_made.add(1),
        )
        self.routes = RouteBook(self._routed)
        self.registry = Registry(self.directory, reactor, settings.heartbeat_s)
        self.factory = GatewayFactory(
            self.handle, self._limits, reactor.seconds, reactor.callLater
        )
        self.in_progress = 0
        self._reactor = reactor
        self._entries = self._entry_book(kv, reactor, random)
        me = (settings.host, settings.internal_port)
        self.talk = PeerTalk(me, reactor)
        self._evacuations = Evacuations(
            settings.zones,
            self.directory.evacuate,
            lambda: self._watch_client.revision_of(EVACUATION_PREFIX),
            reactor.seconds,
        )
        self.owners = Ownership(
            me, self.directory, self._evacuations, self.talk, reactor
        )
        self.quarantine = Quarantine(
            self.owners.ring, self.talk, kv, reactor, self._break_off
        )
        self._bounds = WeightBounds(settings.bounds.weights_s)
        self.prefix_cache = PrefixCache(
            self.owners,
            cache_calls,
            self._newest,
            self.directory.engine_weights,
            self.talk,
            reactor,
            random,
        )
        shortlist = CandidateList(
            self.directory, settings.zone, self._bounds, reactor.seconds
        )
        costs = CostEstimator(
            settings.zone, self.prefix_cache.map, reactor.seconds
        )
        reporter = self.owners.load_reporter
        self._placer = Placer(
            self.directory,
            shortlist,
            costs,
            DispatchBuilder(costs, self.prefix_cache.map, self._newest),
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
            shortlist,
            costs,
            self.owners.load_queries,
            self.prefix_cache.queries,
            reactor.seconds,
        )
        self._underway: set[HttpAttempt] = set()
        self._silence = LivenessMonitor(self.directory, calls, reactor.seconds)
        self._grace = Grace(
            reactor.seconds, lambda: self.settings.bounds.grace_s
        )
        self._tick = None
        self._tidy_at = 0.0
        self._budget = self._new_budget()
        self._means = self._call_means(random)
        self._lease = RolloutLease(
            kv,
            settings.vm,
            reactor,
            random,
            settings.bounds.lease_s,
            self._rolls_out,
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
                # Before the endpoints: a cold one is shared by all entries.
                ENTRIES_PREFIX: self._entries,
                REGISTRY_PREFIX: self.registry,
                QUARANTINE_KEYS: self.quarantine.written,
                LEADER_KEY: self._lease,
            },
            reactor,
            random,
            _WATCH_S,
            _PACE_S,
            _URGENT,
        )

    def start(self) -> None:
        """Begins to read routes and endpoints."""
        self._observe()
        self._watch_client.start()
        self._lease.start()
        self._entries.start()
        self._ticked()
        emit(Event.STARTED, vm=self.settings.vm, zone=self.settings.zone)

    def reload(self, settings: Settings | Failure) -> None:
        """Takes changed settings; a file that is wrong changes nothing.

        Addresses and the zone stay as they were at the start: a process
        cannot move, and the platform starts a new one for that.
        """
        if isinstance(settings, Failure):
            emit(
                Event.SETTINGS_REFUSED,
                field=settings.field,
                **explain(settings),
            )
            return
        self.settings = msgspec.structs.replace(
            self.settings, bounds=settings.bounds
        )
        budget = self._new_budget()
        self._budget.ratio = budget.ratio
        self._budget.limit = budget.limit
        self._bounds.bound_s = settings.bounds.weights_s
        emit(Event.RELOADED, vm=settings.vm)

    def ready(self) -> bool:
        """Whether the balancer may send callers."""
        return (
            not self._grace.begun
            and self.routes.table is not None
            and self.registry.known
        )

    async def stop(self) -> int:
        """Finishes what was taken, within the platform's grace.

        Returns:
          how many calls were left.
        """
        self._grace.begin()
        emit(Event.DRAINING, vm=self.settings.vm, running=self.in_progress)
        ensureDeferred(self._lease.stop())
        ensureDeferred(self._entries.stop())
        await sleep(self._reactor, NOTICED_S)
        while self.clock() < self._grace.end:
            self.factory.close_idle()
            if not self.in_progress and not self._reading():
                break
            await sleep(self._reactor, _DRAIN_STEP_S)
        self._watch_client.stop()
        self.prefix_cache.stop()
        self.owners.stop()
        if self._tick is not None and self._tick.active():
            self._tick.cancel()
        event = Event.STOP_FORCED if self.in_progress else Event.STOPPED
        emit(event, vm=self.settings.vm, left=self.in_progress)
        return self.in_progress

    def handle(self, req: GatewayRequest) -> None:
        """Answers one whole request."""
        sink = GatewaySink(req, closing=self._grace.begun)
        call = self._admit(req)
        if isinstance(call, Failure):
            self._refused_early(req, call)
            sink.refuse(call)
            return
        self.in_progress += 1
        GatewayCall(self._means, call, sink, self._over).start(req)

    def _over(self) -> None:
        self.in_progress -= 1

    def _entry_book(self, kv: Kv, reactor, random: Random) -> EntryBook:
        settings = self.settings
        row = EntryRow(
            settings.host,
            settings.internal_port,
            settings.zone,
            settings.cores,
        )
        return EntryBook(kv, settings.vm, row, reactor, random, self._counted)

    def _call_means(self, random: Random) -> CallMeans:
        metrics = self.metrics
        return CallMeans(
            serving=ServingContext(
                budget=self._budget,
                on_retry=lambda service: metrics.retries.add(
                    1, {"service": service}
                ),
                clock=self._reactor,
                random=random,
                new_hex=lambda: secrets.token_hex(8),
                backoff=lambda: Backoff(*_BACKOFF_S),
            ),
            placer=self._placer,
            prober=self._prober,
            admission=self.owners.admission_client,
            quarantine=self.quarantine,
            underway=self._underway,
            clock=self.clock,
            metrics=metrics,
        )

    def _admit(self, req: GatewayRequest) -> ForwardCall | Failure:
        if self.routes.table is None:
            return failed(Code.CONFIG_MISSING, retry_after_s=0.5)
        if not self._grace.takes_work:
            return failed(Code.DRAINING, retry_after_s=0.1)
        call = read_call(req, self.routes.table, self.clock())
        return call if isinstance(call, Failure) else self._grace.within(call)

    def _refused_early(self, req: GatewayRequest, failure: Failure) -> None:
        self.metrics.refusals.add(1, {"code": failure.code.name})
        emit(
            Event.REQUEST_FAILED,
            request=(req.getHeader("x-request-id") or "")[:64],
            path=req.uri.decode("latin-1")[:80],
            field=failure.field,
            **explain(failure),
        )

    def _observe(self) -> None:
        """Measures states whenever metrics are read."""
        observe_states(
            self.metrics,
            {
                "in_progress": lambda: self.in_progress,
                "caller_connections": lambda: len(self.factory.channels),
                "config_version": lambda: self.routes.version,
                "ready": lambda: int(self.ready()),
                "order_lease_held": lambda: int(self._lease.held),
                "entries": lambda: self.directory.entries,
                "requests_quarantined": lambda: len(self.quarantine.written),
                "kv_in_touch": lambda: int(self._watch_client.in_touch),
            },
        )
        observe_endpoints(
            self.metrics,
            self.directory,
            self.owners,
            self.prefix_cache,
            self._budget.left,
            self.clock,
        )

    def _break_off(self, digest: RequestDigest) -> None:
        """Ends what is under way of a request that ends endpoints."""
        for attempt in list(self._underway):
            if attempt.digest == digest:
                attempt.abort_unless_started()

    def _routed(self, routing: Routing) -> None:
        self.directory.configure(routing)
        self.registry.configure(routing)
        self.prefix_cache.configure(routing)

    def _rolls_out(self, rollout: Rollout, own: bool) -> None:
        """Takes which engines load weights now, from the lease's holder."""
        self.directory.update_rollout(rollout)
        if own:
            self.owners.load_reporter.spread(rollout)

    def _newest(self, model: str) -> int:
        """Returns the newest version of a model that is known of.

        An entry that is cut off from the key-value service hears of it from
        the others' rollouts.
        """
        named = self.routes.weights.get(model, 0)
        rollout = self.directory.rollout
        if rollout is not None and rollout.model == model:
            return max(named, rollout.version)
        return named

    def _note_weights(self, now: float) -> None:
        """Notes when the newest weights were first heard of."""
        rollout = self.directory.rollout
        told = {rollout.model} if rollout is not None else set()
        for model in told.union(self.routes.weights):
            self._bounds.heard(model, self._newest(model), now)

    def _counted(
        self, members: dict[Address, float], sharing: set[Address]
    ) -> None:
        self.owners.entries(members)
        me = (self.settings.host, self.settings.internal_port)
        rank = sum(address < me for address in sharing)
        self.directory.set_entry_count(len(sharing), rank)
        budget = self._new_budget()
        self._budget.limit = budget.limit

    def _limits(self) -> CallerLimits:
        table = self.routes.table
        return table.routing.limits if table else CallerLimits()

    def _new_budget(self) -> Budget:
        bounds = self.settings.bounds
        return Budget(
            ratio=bounds.retry_ratio * _EARNED_SHARE,
            limit=bounds.retry_extra * _SAVED_SHARE / self.directory.entries,
        )

    def _reading(self) -> bool:
        return any(not channel.between for channel in self.factory.channels)

    def _ticked(self) -> None:
        self._tick = self._reactor.callLater(_TICK_S, self._ticked)
        now = self.clock()
        if now >= self._tidy_at:
            self._tidy_at = now + _TIDY_S
            self._tidy(now)
        for attempt in list(self._underway):
            attempt.sweep(now)
        self._silence.tick(self._underway)
        self.factory.sweep(now)
        self.registry.tick()
        self._entries.tick()
        self._note_weights(now)
        self._rollout_commands.tick()
        self.owners.tick(now)
        self.quarantine.tick(now)

    def _tidy(self, now: float) -> None:
        self.prefix_cache.tick(now)
        self.directory.trim()
