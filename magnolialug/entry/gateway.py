"""The gateway's application object: routes, teams, serving, draining."""

import secrets
from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from magnolialug.config.routing import CallerLimits, RouteType, Routing
from magnolialug.entry.directory import Directory
from magnolialug.entry.entrybook import ENTRIES_PREFIX, EntryBook, EntryRow
from magnolialug.entry.follower import Follower
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaychannel import GatewayFactory, GatewayRequest
from magnolialug.entry.gatewayintake import read_call
from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.httpcarrier import HttpCarrier
from magnolialug.entry.loadshare import LoadShare
from magnolialug.entry.orderlease import OrderLease
from magnolialug.entry.orders import Orders
from magnolialug.entry.placer import Placer
from magnolialug.entry.progress import Served
from magnolialug.entry.registry import Registry
from magnolialug.entry.routebook import RouteBook
from magnolialug.entry.serving import Means, Serving
from magnolialug.entry.storewatch import StoreWatch
from magnolialug.events import Event, emit, explain
from magnolialug.metrics import Metrics
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.platform.enginecalls import EngineCalls
from magnolialug.platform.kv import Kv
from magnolialug.platform.operator import OPERATOR_PREFIX
from magnolialug.platform.registry import REGISTRY_PREFIX
from magnolialug.platform.settings import Settings
from magnolialug.policy.cachemap import CacheMap
from magnolialug.policy.retry import Backoff, Budget
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Executed, Failure, failed
from magnolialug.timing import sleep

__all__ = ["Gateway"]

# How often times are looked at: a deadline is met this much late at worst.
_TICK_S = 0.05
# Of the retries that all entries may save up, the part that is used. A
# restarted entry begins with a full share, and entries disagree for a while
# on how many they are; half leaves room for both.
_USED_RETRIES = 0.5
# Watches return at once when something changes; this long when nothing does.
_WATCH_S = 10.0
# Heartbeats alone change no entry, but a start of many endpoints does; what
# changes within this pause is fetched with one call.
_REGISTRY_PACE_S = 0.05
# After the signal to stop, the balancer needs two misses at a second each
# until it sends no more.
_NOTICED_S = 2.6
# Work that is taken later than this after the signal may outlast the grace;
# by then the balancer sends none, and callers were told to close.
_TAKES_WORK_S = 2.8
_STOP_MARGIN_S = 0.4
_DRAIN_STEP_S = 0.05


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
        metrics: Metrics,
        calls: EngineCalls,
        cache_calls: CacheCalls,
    ):
        self.settings = settings
        self.clock: Callable[[], float] = reactor.seconds
        self.metrics = metrics
        self.directory = Directory(reactor)
        self.book = RouteBook(self._routed)
        self.registry = Registry(self.directory, reactor)
        self.factory = GatewayFactory(
            self.handle, self._limits, reactor.seconds, reactor.callLater
        )
        self.in_progress = 0
        self._reactor = reactor
        self._cache = CacheMap()
        self._stores = StoreWatch(self._cache, cache_calls, reactor, random)
        self._placer = Placer(
            self.directory,
            settings.zone,
            reactor.seconds,
            self._cache,
            self._stores.addresses,
            lambda: self.book.weights,
        )
        self._underway: set[HttpAttempt] = set()
        self._stopping_at: float | None = None
        self._tick = None
        self._means = Means(
            budget=self._new_budget(),
            metrics=metrics,
            clock=reactor,
            random=random,
            new_hex=lambda: secrets.token_hex(8),
            backoff=lambda: Backoff(base_s=0.004, limit_s=0.1),
        )
        self._lease = OrderLease(
            kv,
            settings.vm,
            reactor,
            random,
            settings.bounds.lease_s,
            self.directory.rolls_out,
        )
        self._orders = Orders(
            self.directory,
            self._lease,
            calls,
            reactor.seconds,
            lambda: self.book.weights,
        )
        self._book = EntryBook(
            kv,
            settings.vm,
            EntryRow(settings.host, settings.internal_port, settings.zone),
            reactor,
            random,
            self._counted,
        )
        self.loads = LoadShare(
            self.directory, self._book, reactor, self._lease.name
        )
        self._placer.on_change = self.loads.changed
        self._followers = [
            Follower(kv, ENTRIES_PREFIX, self._book, reactor, random, _WATCH_S),
            Follower(
                kv,
                OPERATOR_PREFIX,
                self.book,
                reactor,
                random,
                _WATCH_S,
            ),
            Follower(
                kv,
                REGISTRY_PREFIX,
                self.registry,
                reactor,
                random,
                _WATCH_S,
                _REGISTRY_PACE_S,
            ),
        ]

    def start(self) -> None:
        """Begins to read routes and endpoints."""
        for follower in self._followers:
            follower.start()
        self._lease.start()
        self._book.start()
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
        self._means.budget.ratio = budget.ratio
        self._means.budget.limit = budget.limit
        emit(Event.RELOADED, vm=settings.vm)

    def ready(self) -> bool:
        """Whether the balancer may send callers."""
        return (
            self._stopping_at is None
            and self.book.table is not None
            and self.registry.known
        )

    async def stop(self) -> int:
        """Finishes what was taken, within the platform's grace.

        Returns:
          how many calls were left.
        """
        self._stopping_at = self.clock()
        emit(Event.DRAINING, vm=self.settings.vm, running=self.in_progress)
        await self._lease.stop()
        await self._book.stop()
        end = self._stopping_at + self.settings.bounds.grace_s - _STOP_MARGIN_S
        await sleep(self._reactor, _NOTICED_S)
        while self.clock() < end:
            self.factory.close_idle()
            if not self.in_progress and not self._reading():
                break
            await sleep(self._reactor, _DRAIN_STEP_S)
        for follower in self._followers:
            follower.stop()
        self._stores.stop()
        self.loads.stop()
        if self._tick is not None and self._tick.active():
            self._tick.cancel()
        event = Event.STOP_FORCED if self.in_progress else Event.STOPPED
        emit(event, vm=self.settings.vm, left=self.in_progress)
        return self.in_progress

    def handle(self, req: GatewayRequest) -> None:
        """Answers one whole request."""
        sink = GatewaySink(req, closing=self._stopping_at is not None)
        call = self._admit(req)
        if isinstance(call, Failure):
            self._refused_early(req, call)
            sink.refuse(call)
            return
        log = RequestLog(call.name)
        carrier = HttpCarrier(
            self._placer, self._underway, self.clock, call, sink, log
        )
        fut = ensureDeferred(self._serve(call, carrier, log))
        req.notifyFinish().addErrback(
            lambda _: self._left(call, sink, fut, log)
        )
        fut.addCallback(self._ended, call, sink, carrier, log)
        fut.addErrback(_broken, sink)

    def _admit(self, req: GatewayRequest) -> ForwardCall | Failure:
        if self.book.table is None:
            return failed(Code.CONFIG_MISSING, retry_after_s=0.5)
        if (
            self._stopping_at is not None
            and self.clock() - self._stopping_at > _TAKES_WORK_S
        ):
            return failed(Code.DRAINING, retry_after_s=0.1)
        return read_call(req, self.book.table, self.clock())

    async def _serve(
        self, call: ForwardCall, carrier: HttpCarrier, log: RequestLog
    ) -> Served | Failure:
        self.in_progress += 1
        self._means.budget.deposit(call.service)
        try:
            return await Serving(self._means, call, carrier, log).run()
        finally:
            self.in_progress -= 1

    def _ended(
        self,
        result: Served | Failure,
        call: ForwardCall,
        sink: GatewaySink,
        carrier: HttpCarrier,
        log: RequestLog,
    ) -> None:
        kept = isinstance(result, Failure) and carrier.deliver_kept()
        if isinstance(result, Failure) and not kept:
            sink.refuse(self._in_time(result, call))
        self._count(call, result, sink, log)

    def _in_time(self, failure: Failure, call: ForwardCall) -> Failure:
        """Says of a failure at the deadline that time was the cause."""
        over = self.clock() >= call.deadline
        if over and failure.executed is not Executed.NO:
            return failed(Code.TIMED_OUT, failure.reason)
        return failure

    def _left(
        self,
        call: ForwardCall,
        sink: GatewaySink,
        fut: Deferred,
        log: RequestLog,
    ) -> None:
        sink.left()
        if call.route.form is not RouteType.NON_IDEMPOTENT:
            log.emit(Event.CANCELLED, route=call.route.name)
            fut.cancel()

    def _count(
        self,
        call: ForwardCall,
        result: Served | Failure,
        sink: GatewaySink,
        log: RequestLog,
    ) -> None:
        took_s = self.clock() - call.arrived
        if isinstance(result, Failure):
            log.emit(
                Event.REQUEST_FAILED,
                route=call.route.name,
                status=sink.status,
                took_s=round(took_s, 3),
                **explain(result),
            )
            log.failed()
            return
        log.emit(
            Event.REQUEST_DONE,
            route=call.route.name,
            status=sink.status,
            first_s=round(result.ttft_s, 3),
            took_s=round(took_s, 3),
        )

    def _refused_early(self, req: GatewayRequest, failure: Failure) -> None:
        emit(
            Event.REQUEST_FAILED,
            request=(req.getHeader("x-request-id") or "")[:64],
            path=req.uri.decode("latin-1")[:80],
            field=failure.field,
            **explain(failure),
        )

    def _routed(self, routing: Routing) -> None:
        self.directory.configure(routing)
        self._stores.configure(routing)

    def _counted(self, entries: int) -> None:
        self.directory.counted(entries)
        budget = self._new_budget()
        self._means.budget.limit = budget.limit

    def _limits(self) -> CallerLimits:
        table = self.book.table
        return table.routing.limits if table else CallerLimits()

    def _new_budget(self) -> Budget:
        bounds = self.settings.bounds
        return Budget(
            ratio=bounds.retry_ratio * _USED_RETRIES,
            limit=bounds.retry_extra * _USED_RETRIES / self.directory.entries,
        )

    def _reading(self) -> bool:
        return any(not channel.between for channel in self.factory.channels)

    def _ticked(self) -> None:
        self._tick = self._reactor.callLater(_TICK_S, self._ticked)
        now = self.clock()
        for attempt in list(self._underway):
            attempt.sweep(now)
        self.factory.sweep(now)
        self.registry.tick()
        self._orders.tick()
        self._cache.tick(now)
        self.loads.tick(now)
        self.directory.trim()


def _broken(reason, sink: GatewaySink) -> None:
    """Ends a response whose task was cancelled or is at fault."""
    if reason.check(CancelledError):
        return
    sink.refuse(failed(Code.OUTCOME_UNKNOWN, reason.type.__name__))
    reason.raiseException()
