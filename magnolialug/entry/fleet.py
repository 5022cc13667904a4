"""Connections to the sidecars, the state of endpoints, and placement."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.config.current import Current
from magnolialug.config.deployment import Deployment
from magnolialug.entry.call import PromptCall
from magnolialug.entry.upstream import Upstream, UpstreamCallbacks
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId, EntryId, ZoneId
from magnolialug.policy.admission import Admission
from magnolialug.policy.blocks import token_count
from magnolialug.policy.cacheestimates import (
    CacheEstimates,
    EngineCacheEstimate,
    StoreCacheEstimate,
)
from magnolialug.policy.load import (
    EndpointView,
    clear_unreported,
    queue_seconds,
    sent,
)
from magnolialug.policy.membership import Members, MemberState
from magnolialug.policy.placement import (
    Job,
    LinkView,
    Placement,
    Weights,
    place,
)
from magnolialug.policy.ring import Ring
from magnolialug.result import Failure
from magnolialug.wire import messages as msg
from magnolialug.wire.link import Link

__all__ = ["Fleet"]

_MAX_CACHE_ESTIMATES = 12_000
_LOGGED_COSTS = 4
_RETIRE_CHECK_S = 3.0
_READY_GRACE_S = 10.0
_NO_RING = Ring()


class Fleet:
    """Holds the upstreams and the last known state of their endpoints.

    Args:
      connect: opens a link to an endpoint's sidecar.
      admission: receives the number of entries that the sidecars see.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneId,
        current: Current,
        clock: IReactorTime,
        random: Random,
        connect: Callable[[EndpointId], Deferred],
        admission: Admission,
    ):
        self.upstreams: dict[EndpointId, Upstream] = {}
        self.members = Members()
        self.cache_estimates = CacheEstimates(_MAX_CACHE_ESTIMATES)
        self.views: dict[EndpointId, EndpointView] = {}
        self._entry = entry
        self._zone = zone
        self._current = current
        self._clock = clock
        self._random = random
        self._admission = admission
        self._rings: dict[str, Ring] = {}
        self._retiring: list[Upstream] = []
        self._started = clock.seconds()
        self._callbacks = UpstreamCallbacks(
            connect=connect,
            hello=lambda: msg.Hello(entry, current.version),
            ping=lambda: msg.Ping(current.version, current.beat),
            on_up=self._up,
            on_status=self._status,
            on_down=self._down,
            on_config=self._config,
        )

    def apply(self, deployment: Deployment) -> None:
        """Applies the endpoints of a configuration."""
        for removed in set(self.upstreams) - set(deployment.endpoints):
            self._retire(self.upstreams.pop(removed))
            self.views.pop(removed, None)
        for name, spec in deployment.endpoints.items():
            endpoint = EndpointId(name)
            if endpoint in self.upstreams:
                continue
            self.views[endpoint] = EndpointView(
                endpoint,
                ZoneId(spec.zone),
                spec.slots,
                spec.cache_tokens,
                prefill_rate=spec.prefill_rate,
            )
            upstream = Upstream(
                endpoint, self._clock, self._random, self._callbacks
            )
            self.upstreams[endpoint] = upstream
            upstream.start()
        self.members.listed(self.upstreams)
        self._rings = {
            service: Ring(deployment.pool(service))
            for service in deployment.services
        }
        for upstream in self.upstreams.values():
            upstream.send(msg.Ping(self._current.version, self._current.beat))

    def stop(self) -> None:
        """Closes every connection."""
        for upstream in [*self.upstreams.values(), *self._retiring]:
            upstream.stop()

    def _retire(self, upstream: Upstream) -> None:
        """Retires an endpoint that the configuration no longer names.

        Closing the connection at once would cut its streams, and its sidecar
        would not learn of the change that removed it. So the new version is
        sent, which makes the sidecar drain, and the connection stays open until
        no request is in progress or the drain limit has passed.
        """
        upstream.retire()
        upstream.send(msg.Ping(self._current.version, self._current.beat))
        until = self._clock.seconds()
        until += self._current.deployment.limits.drain_s
        self._retiring.append(upstream)
        self._clock.callLater(
            _RETIRE_CHECK_S, self._check_retired, upstream, until
        )

    def _check_retired(self, upstream: Upstream, until: float) -> None:
        if upstream.mailboxes and self._clock.seconds() < until:
            again = self._check_retired, upstream, until
            self._clock.callLater(_RETIRE_CHECK_S, *again)
            return
        if upstream in self._retiring:
            self._retiring.remove(upstream)
            upstream.stop()

    def ready(self) -> bool:
        """Whether calls can be served.

        An entry that became ready with its first connection would refuse calls
        to services that it reaches a moment later. So each service must have a
        connected endpoint. A service that cannot be reached must not keep the
        others unavailable, so after a grace period any endpoint is enough.
        """
        reached = {
            spec.service
            for name, spec in self._current.deployment.endpoints.items()
            if self.upstreams[name].ready
        }
        waited = self._clock.seconds() - self._started >= _READY_GRACE_S
        named = {
            spec.service for spec in self._current.deployment.endpoints.values()
        }
        return bool(reached) and (waited or reached == named)

    def place(
        self, call: PromptCall, avoid: set[EndpointId], wait_s: float
    ) -> Placement | Failure:
        """Chooses an endpoint for a call."""
        deployment = self._current.deployment
        now = self._clock.seconds()
        ring = self._rings.get(call.service, _NO_RING)
        eligible = self.members.eligible(deployment.pool(call.service))
        job = Job(
            root=call.root,
            tokens=token_count(call.body) if call.model else 1,
            wait_s=wait_s,
            priority=call.kind.priority,
            zone=self._zone,
            weights=call.weights,
            avoid=frozenset(avoid),
        )

        def view_of(endpoint: EndpointId) -> EndpointView | None:
            if endpoint not in eligible:
                return None
            view = self.views[endpoint]
            view.slow_start = self.members.slow_start(endpoint, now)
            return view

        placed = place(
            job,
            ring,
            view_of,
            self.cache_estimates,
            self._link(call),
            Weights(
                deployment.measures.ttft,
                deployment.measures.recompute,
                deployment.measures.link,
            ),
            now,
        )
        if isinstance(placed, Placement):
            view = self.views[placed.best.endpoint]
            sent(view, placed.best.recomputed, now)
        return placed

    def record_cache_state(
        self, call: PromptCall, endpoint: EndpointId, done: msg.Done
    ) -> None:
        """Updates the cache estimates of an engine and the store."""
        view = self.views.get(endpoint)
        if view is None or not call.model:
            return
        estimate = EngineCacheEstimate(
            done.prompt_tokens, view.filled, view.epoch
        )
        self.cache_estimates.record_engine(call.root, endpoint, estimate)
        self.cache_estimates.record_store(
            call.root, StoreCacheEstimate(done.prompt_tokens, True)
        )

    def expected_wait(self, endpoint: EndpointId, priority: int) -> float:
        """Returns the expected queueing delay at an endpoint, in seconds."""
        return queue_seconds(
            self.views[endpoint], priority, self._clock.seconds()
        )

    def _link(self, call: PromptCall) -> LinkView:
        deployment = self._current.deployment
        stores = deployment.stores.values()
        model = deployment.models.get(call.model)
        return LinkView(
            memory_rate=min((s.memory_rate for s in stores), default=1.0),
            disk_rate=min((s.disk_rate for s in stores), default=1.0),
            token_bytes=model.token_bytes if model else 0,
        )

    def log_placement(
        self, call: PromptCall, placed: Placement | Failure, request_id: str
    ) -> None:
        """Logs a placement with the costs that were compared."""
        fields = {"team": call.team, "kind": call.kind_name, "root": call.root}
        if isinstance(placed, Failure):
            emit(Event.NOT_PLACED, **fields, **explain(placed))
            return
        emit(
            Event.PLACED,
            request=request_id,
            **fields,
            endpoint=placed.best.endpoint,
            reason=placed.reason,
            expected_ttft_s=round(placed.best.ttft_s, 4),
            costs=[
                (
                    cost.endpoint,
                    cost.source.value,
                    round(cost.ttft_s, 4),
                    round(cost.cost, 4),
                )
                for cost in placed.compared[:_LOGGED_COSTS]
            ],
        )

    def _up(self, upstream: Upstream) -> None:
        view = self.views.get(upstream.endpoint)
        if view is None:
            return
        if view.incarnation != upstream.incarnation:
            view.incarnation = upstream.incarnation
            view.epoch += 1
        self.members.up(upstream.endpoint, self._clock.seconds())

    def _status(self, upstream: Upstream, status: msg.Status) -> None:
        view = self.views.get(upstream.endpoint)
        if view is None:
            return
        view.running = status.running
        view.queued = status.queued
        view.queued_by_priority = status.queued_by_priority
        view.prefill_rate = status.prefill_rate
        view.run_s = status.run_s
        view.filled = status.filled
        view.heard_at = self._clock.seconds()
        clear_unreported(view)
        self._admission.entries = max(1, status.entries)
        self._current.heard(status.beat)
        if status.config_version > self._current.version:
            upstream.send(msg.ConfigWant(self._current.version))
        if status.draining:
            self.members.leaving(upstream.endpoint)

    def _down(self, upstream: Upstream, failure: Failure) -> None:
        before = self.members.state(upstream.endpoint)
        self.members.down(upstream.endpoint)
        if before is MemberState.UP:
            emit(
                Event.ENDPOINT_SUSPECTED,
                endpoint=upstream.endpoint,
                **explain(failure),
            )

    def _config(self, link: Link, message: msg.Message) -> None:
        if isinstance(message, msg.ConfigDoc):
            self._current.offer(message)
        elif self._current.version > message.have_version:
            link.send(self._current.doc)
