"""The sidecar's application object: the last gate before an endpoint."""

from collections.abc import Callable, Mapping

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.attempt import Attempt
from magnolialug.config.current import Current
from magnolialug.config.deployment import Deployment, Kind
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId, StoreId, new_incarnation
from magnolialug.metrics import Metrics
from magnolialug.policy.attemptqueue import AttemptQueue, AttemptTraits
from magnolialug.policy.blocks import token_count
from magnolialug.policy.gate import DispatchDecision, Gate
from magnolialug.policy.load import merge_tokens
from magnolialug.policy.memorybudget import (
    DEFAULT_MEMORY_MB,
    Charge,
    MemoryBudget,
    budget_bytes,
)
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar import callers
from magnolialug.sidecar.answer import Answer
from magnolialug.sidecar.answers import Answers
from magnolialug.sidecar.engine import Engine
from magnolialug.sidecar.item import Item
from magnolialug.sidecar.mover import Mover
from magnolialug.sidecar.runner import Runner
from magnolialug.sidecar.speed import Speed
from magnolialug.sidecar.store import Store
from magnolialug.statelog import StateLog
from magnolialug.timing import sleep
from magnolialug.wire import messages as msg
from magnolialug.wire.link import Link

__all__ = ["SidecarApp"]

_TIDY_S = 5.0
_DRAIN_STEP_S = 0.05
_ANSWERS_BYTES = 8 * 1024 * 1024
# The text, its request to the endpoint, and the bytes that are being sent.
_BODY_COPIES = 3
_DISPATCH_BYTES = 4 * 1024


class SidecarApp:
    """Queues, runs at most once, keeps answers, and drains.

    Life-cycle: `start`, then `accept` for every connection, then `stop`.

    Args:
      endpoint_id: the endpoint beside which it runs.
      current: its configuration; must have one in force before `start`.
      wall: wall-clock seconds.
      memory_mb: the memory of the process.
    """

    def __init__(
        self,
        endpoint_id: EndpointId,
        current: Current,
        engine: Engine,
        stores: Mapping[StoreId, Store],
        clock: IReactorTime,
        wall: Callable[[], float],
        incarnation: str | None = None,
        memory_mb: float = DEFAULT_MEMORY_MB,
    ):
        self.endpoint_id = endpoint_id
        self.current = current
        self.clock = clock
        self.gate = Gate(incarnation or new_incarnation())
        self.metrics = Metrics()
        self.engine = engine
        self._links: dict[Link, str] = {}
        self.answers = Answers()
        self._timer = None
        self._removed = False
        self._memory = MemoryBudget(budget_bytes(memory_mb))
        self.metrics.observe_memory(self._memory)
        self._memory_log = StateLog(
            Event.CALLER_MEMORY_FULL, Event.CALLER_MEMORY_FREE
        )
        self._spec = spec = self._deployment.endpoints[endpoint_id]
        self.lineup: AttemptQueue[Item] = AttemptQueue(
            self._deployment.limits.queue_items, spec.slots
        )
        self.speed = Speed(spec.prefill_rate)
        mover = Mover(engine, stores, self._rates(), clock, wall)
        self.runner = Runner(self, engine, mover, wall)

    @property
    def _deployment(self) -> Deployment:
        return self.current.deployment

    def _rates(self) -> dict[Tier, float]:
        """Returns the stores' slowest configured rates, bytes a second."""
        stores = self._deployment.stores.values()
        return {
            Tier.MEMORY: min((s.memory_rate for s in stores), default=1.0),
            Tier.DISK: min((s.disk_rate for s in stores), default=1.0),
        }

    def start(self) -> None:
        """Begins to tidy up regularly; connections may come from now on."""
        self._timer = self.clock.callLater(_TIDY_S, self._tidy)
        self.current.on_change(self._changed)
        emit(
            Event.STARTED,
            endpoint=self.endpoint_id,
            incarnation=self.gate.incarnation,
        )

    def _changed(self, deployment: Deployment) -> None:
        """Takes a new configuration into use.

        An endpoint that the configuration no longer names leaves: what waits
        is refused as not run, what runs is finished. If a later version
        names it again, it takes work again.
        """
        spec = deployment.endpoints.get(self.endpoint_id)
        if spec is None:
            self._removed = not self.gate.draining
            self.drain()
            return
        self._spec = spec
        self.lineup.slots = spec.slots
        if self._removed:
            self._removed = self.gate.draining = False
        self._broadcast()

    async def stop(self) -> list[str]:
        """Drains: refuses what waits, finishes what runs, hands answers over.

        Returns:
          what was left when the drain limit passed; empty after a whole
          drain.
        """
        self.drain()
        limit = self.clock.seconds() + self._deployment.limits.drain_s
        while not self._drained() and self.clock.seconds() < limit:
            await sleep(self.clock, _DRAIN_STEP_S)
        left = [record.attempt.request_id for record in self.gate.unfinished()]
        if self._timer and self._timer.active():
            self._timer.cancel()
        for link in list(self._links):
            link.close()
        event = Event.STOP_FORCED if left else Event.STOPPED
        emit(event, endpoint=self.endpoint_id, left=left)
        return left

    def drain(self) -> None:
        """Takes no new work from now on and tells every entry at once."""
        if self.gate.draining:
            return
        self.gate.draining = True
        emit(Event.DRAINING, endpoint=self.endpoint_id)
        for item in self.lineup.waiting():
            self._refuse(item, failed(Code.DRAINING))
        self._broadcast()

    def accept(self, link: Link) -> None:
        """Serves one entry's connection until it ends."""
        self._links[link] = ""
        link.on_message = lambda message: self._received(link, message)
        link.on_down = lambda failure: self._lost(link, failure)
        link.heartbeat = self.status
        link.on_up = lambda: link.send(
            msg.Welcome(
                self.endpoint_id,
                self.gate.incarnation,
                self.clock.seconds(),
            )
        )

    def status(self) -> msg.Status:
        """Returns the load as it is now."""
        return msg.Status(
            now=self.clock.seconds(),
            draining=self.gate.draining,
            running=self.lineup.running,
            queued=len(self.lineup),
            queued_by_priority=merge_tokens(
                self.lineup.tokens_by_priority(), self.runner.prefilling
            ),
            prefill_rate=self.speed.prefill_rate,
            run_s=self.speed.run_s,
            filled=self.runner.filled,
            epoch=self.runner.epoch,
            weights=self.runner.weights,
            config_version=self.current.version,
            entries=len(set(self._links.values()) - {""}),
            beat=self.current.beat,
        )

    def pump(self) -> None:
        """Fetches and starts what waits, as far as there is room."""
        while (item := self.lineup.next_to_run()) is not None:
            self.metrics.queued.add(-1)
            ensureDeferred(self.runner.run(item))
        while (item := self.lineup.next_to_fetch()) is not None:
            ensureDeferred(self._fetch(item))

    async def _fetch(self, item: Item) -> None:
        try:
            await self.runner.fetch(item)
        finally:
            self.lineup.fetched(item)
            self.pump()

    def ended(self, item: Item) -> None:
        """Takes back a slot."""
        self._memory.release(item.charge)
        self.lineup.ended()
        self.pump()
        self._broadcast_to(item)

    def refuse_run(self, item: Item, failure: Failure) -> None:
        """Refuses an attempt that has a slot but was not handed over."""
        self._refuse(item, failure)

    def _received(self, link: Link, message: msg.Message) -> None:
        handler = _HANDLERS.get(type(message))
        if handler is None:
            link.drop(
                failed(
                    Code.FRAME_ILL_TYPED,
                    "an entry does not send this",
                    value=type(message).__name__,
                )
            )
            return
        handler(self, link, message)

    def _lost(self, link: Link, failure: Failure) -> None:
        entry = self._links.pop(link, "")
        emit(Event.LINK_DOWN, peer=entry, **explain(failure))
        self.answers.link_lost(link, self.clock.seconds())

    def _hello(self, link: Link, hello: msg.Hello) -> None:
        self._links[link] = hello.entry
        emit(Event.LINK_UP, peer=hello.entry)
        link.send(self.status())
        self._compare(link, hello.config_version)

    def _ping(self, link: Link, ping: msg.Ping) -> None:
        self.current.heard(ping.beat)
        link.send(self.status())
        self._compare(link, ping.config_version)

    def _compare(self, link: Link, version: int) -> None:
        if version > self.current.version:
            link.send(msg.ConfigWant(self.current.version))

    def _config_want(self, link: Link, want: msg.ConfigWant) -> None:
        if self.current.version > want.have_version:
            link.send(self.current.doc)

    def _config_doc(self, link: Link, doc: msg.ConfigDoc) -> None:
        self.current.offer(doc)

    def _dispatch(self, link: Link, dispatch: msg.Dispatch) -> None:
        now = self.clock.seconds()
        attempt = dispatch.attempt
        verdict, failure = self.gate.dispatch(attempt, now)
        if verdict is DispatchDecision.REFUSE:
            self.send_refusal(link, attempt, failure)
        elif verdict is DispatchDecision.ATTACH:
            state = self.gate.query(attempt, False, now)
            callers.reattach(self, link, attempt, state, dispatch.resume_after)
        else:
            self._admit(link, dispatch, now)

    def _admit(self, link: Link, dispatch: msg.Dispatch, now: float) -> None:
        attempt = dispatch.attempt
        kind = self._kind(dispatch)
        tokens = token_count(dispatch.body) if dispatch.model else 1
        failure = self._why_not(dispatch, kind, tokens)
        if failure:
            self.gate.refuse(attempt, failure, now)
            self.send_refusal(link, attempt, failure)
            return
        answer = Answer(attempt, dispatch.resume_after)
        item = Item(dispatch, kind, answer, now, tokens)
        self._memory.set(item.charge, _cost(dispatch))
        self.answers.add(answer)
        answer.attach(link, dispatch.resume_after)
        share = self._deployment.teams[attempt.team].share
        claimant = AttemptTraits(attempt.team, tokens, kind.priority, share)
        self.lineup.push(item, claimant)
        self.metrics.queued.add(1)
        self.clock.callLater(dispatch.wait_s, self._overdue, item)
        self.pump()

    def _kind(self, dispatch: msg.Dispatch) -> Kind | None:
        service = self._deployment.services.get(dispatch.service)
        return service.kinds.get(dispatch.kind) if service else None

    def _why_not(
        self, dispatch: msg.Dispatch, kind: Kind | None, tokens: int
    ) -> Failure | None:
        if kind is None or dispatch.service != self._spec.service:
            return failed(Code.UNKNOWN_KIND, "kind", dispatch.kind)
        if dispatch.attempt.team not in self._deployment.teams:
            return failed(Code.UNKNOWN_TEAM)
        if dispatch.weights != self.runner.weights_of(dispatch.model):
            return failed(Code.WRONG_WEIGHTS, value=dispatch.weights)
        if self._memory.excess(Charge(), _cost(dispatch)):
            self._memory_log.see(self.clock.seconds())
            return failed(Code.NO_MEMORY, retry_after_s=self.speed.run_s)
        if self.lineup.full():
            return failed(Code.QUEUE_FULL, retry_after_s=self.speed.run_s)
        ahead = self.lineup.tokens_before(kind.priority)
        expected = ahead / self.speed.prefill_rate
        if expected > dispatch.wait_s:
            return failed(
                Code.WAIT_EXCEEDED,
                f"{expected:.1f} s of prompts are ahead",
                retry_after_s=expected - dispatch.wait_s,
            )
        return None

    def _overdue(self, item: Item) -> None:
        if item in self.lineup:
            failure = failed(Code.WAIT_EXCEEDED, retry_after_s=self.speed.run_s)
            self._refuse(item, failure)

    def _refuse(self, item: Item, failure: Failure) -> None:
        attempt = item.attempt
        if not self.gate.refuse(attempt, failure, self.clock.seconds()):
            return
        self._memory.release(item.charge)
        if self.lineup.remove(item):
            self.metrics.queued.add(-1)
        answer = self.answers.pop(attempt)
        self.metrics.refusals.add(1, {"code": failure.code.value})
        emit(
            Event.ATTEMPT_REFUSED,
            request=attempt.request_id,
            **explain(failure),
        )
        answer.base = answer.last_seq
        answer.pieces = []
        answer.finish(self._refusal(attempt, failure))

    def _refusal(self, attempt: Attempt, failure: Failure) -> msg.Refused:
        return msg.Refused(
            attempt,
            failure.code.value,
            failure.reason,
            failure.retry_after_s,
        )

    def send_refusal(
        self, link: Link, attempt: Attempt, failure: Failure
    ) -> None:
        """Tells an entry that an attempt did not run and never will."""
        emit(
            Event.ATTEMPT_REFUSED,
            request=attempt.request_id,
            **explain(failure),
        )
        link.send(self._refusal(attempt, failure))

    def abandon(self, attempt: Attempt) -> None:
        """Ends an idempotent attempt that nobody waits for."""
        waiting = (i for i in self.lineup.waiting() if i.attempt == attempt)
        item = next(waiting, None)
        if item:
            self._refuse(item, failed(Code.CANCELLED, executed=None))
        else:
            self.runner.abandon(attempt)

    def _broadcast(self) -> None:
        status = self.status()
        for link in self._links:
            link.send(status)

    def _broadcast_to(self, item: Item) -> None:
        status = self.status()
        for link in item.answer.links():
            link.send(status)

    def _drained(self) -> bool:
        if (
            self.lineup.running
            or self.runner.exporting
            or self.gate.unfinished()
        ):
            return False
        return self.answers.delivered()

    def _tidy(self) -> None:
        self._timer = self.clock.callLater(_TIDY_S, self._tidy)
        now = self.clock.seconds()
        self._memory_log.tick(
            now,
            held=self._memory.held_bytes,
            limit=self._memory.limit_bytes,
        )
        self.answers.forget(self.gate.forget(now))
        self.answers.trim(_ANSWERS_BYTES)
        for attempt in self.answers.abandoned(now):
            self.abandon(attempt)


def _cost(dispatch: msg.Dispatch) -> int:
    """Returns what a dispatch takes here, its copies included."""
    return _DISPATCH_BYTES + len(dispatch.body) * _BODY_COPIES


_HANDLERS = {
    msg.Hello: SidecarApp._hello,
    msg.Ping: SidecarApp._ping,
    msg.Dispatch: SidecarApp._dispatch,
    msg.Resume: callers.resume,
    msg.Find: callers.find,
    msg.Ack: callers.ack,
    msg.Cancel: callers.cancel,
    msg.ConfigWant: SidecarApp._config_want,
    msg.ConfigDoc: SidecarApp._config_doc,
}
