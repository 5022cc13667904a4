"""A soak in which the endpoints, too, are processes that signals end.

The kernel closes the sockets of a killed process: in order where nothing is
unread, by a reset where something is. No stand-in within the soak does that.
"""

import signal
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from twisted.web.server import Site as WebSite

from magnolialug.carrier.client import Client as Asker
from magnolialug.carrier.reader import Framing
from magnolialug.soak.block import Block
from magnolialug.soak.clients import Client, Front
from magnolialug.soak.endpointhost import EndpointSpec
from magnolialug.soak.endpointprocess import EndpointProcess, ProcessState
from magnolialug.soak.frontreadiness import READY_INTERVAL_S, ask_fronts
from magnolialug.soak.historychecker import HistoryChecker
from magnolialug.soak.kvwriter import write_past_faults
from magnolialug.soak.machine import Machine
from magnolialug.soak.proxy import Proxy
from magnolialug.soak.run import Plan, Report
from magnolialug.soak.siterelease import SiteRelease
from magnolialug.soak.worldconfig import soak_config
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face

__all__ = ["SIGNALS", "SiteSoak"]

# What is done to a process, by the name of a method, and how often against the
# others; 0 for what is done only if it is named.
SIGNALS = {
    "kill_endpoint": 8,
    "pause_endpoint": 2,
    "kill_paused_endpoint": 2,
    "stop_endpoint": 2,
    "terminate_endpoint": 2,
    "pause_machine": 2,
    "kill_machine": 2,
    "stop_machine": 1,
    "release_beside_cut": 0,
}

_EVENTS = 8
_GAP_S = 0.05
_IDLE_S = 15.0
_START_S = 20.0
_FAULTS_GAP_S = 0.35
# What is begun when the faults end is answered by then.
_SETTLE_S = 6.0
# A registration ends after three missed heartbeats.
_LAPSE_S = 3.6
_DRAIN_S = 2.2
_LEAST_UP = 2
_FRAMINGS = (Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE, Framing.CLOSE)
_LINE_ENDS = ("\n", "\r\n")


class SiteSoak:
    """One run: machines, endpoints as processes, callers and signals.

    Args:
      endpoints: how many; four in nine are plain services.
      done: gets the report.
    """

    def __init__(
        self,
        reactor,
        planned: Plan,
        endpoints: int,
        done: Callable[[Report], None],
    ):
        self._reactor = reactor
        self._plan = planned
        self._done = done
        self._random = Random(planned.seed)
        self._ids = iter(range(1, 1_000_000_000))
        self._numbers = iter(range(1, 1_000_000))
        self._counts: Counter[str] = Counter()
        self._timers: list = []
        self._ports: list = []
        self._over = False
        self._block = Block()
        self._history = HistoryChecker(reactor.seconds, _EVENTS)
        self._kv = KvStore(reactor)
        self._asker = Asker(reactor)
        self._machines = [self._machine(n) for n in range(planned.machines)]
        self._fronts = [
            Front(machine, None, self._block.callers(machine.number))
            for machine in self._machines
        ]
        plain = endpoints * 4 // 9
        self._services = ["desk"] * plain + ["llm"] * (endpoints - plain)
        self._software = ["v1"] * endpoints
        self._processes: dict[int, EndpointProcess] = {}
        self._stores = [
            Proxy(reactor, self._block.service) for _ in self._machines
        ]
        self._release = SiteRelease(
            reactor,
            self._random,
            self._machines,
            self._stores,
            self._add_engine,
            self._listed_engines,
            self._list,
            self._unlist,
            self._later,
        )
        self._clients = [self._client() for _ in range(planned.clients)]

    def start(self) -> None:
        """Starts everything."""
        self._listen(WebSite(kv_face(self._kv)), self._block.service)
        for machine, proxy in zip(self._machines, self._stores, strict=True):
            self._listen(proxy, self._block.store(machine.number))
        self._configure()
        for slot in range(len(self._services)):
            self._start_endpoint(slot)
        for machine in self._machines:
            machine.start()
        self._every(0.1, self._look)
        self._every(READY_INTERVAL_S, self._ask_ready)
        self._await_ready(self._reactor.seconds() + _START_S)

    def close(self) -> None:
        """Ends all processes, also of a run that was broken off."""
        self._over = True
        for machine in self._machines:
            machine.close()
        for process in self._processes.values():
            process.send_signal(signal.SIGKILL)

    def _listen(self, factory, address) -> None:
        host, port = address
        self._ports.append(
            self._reactor.listenTCP(port, factory, interface=host)
        )

    def _later(self, seconds: float, call: Callable, *args: object) -> None:
        self._timers.append(self._reactor.callLater(seconds, call, *args))

    def _every(self, seconds: float, call: Callable[[], None]) -> None:
        call()
        self._later(seconds, self._every, seconds, call)

    def _configure(self) -> None:
        config = soak_config(1, {}, _IDLE_S)
        # The last service is the store of cache parts, which there is not.
        config["services"].pop()
        self._write("op/config", config)

    def _write(self, key: str, value: dict) -> None:
        write_past_faults(self._kv, key, value)

    def _machine(self, number: int) -> Machine:
        return Machine(
            number,
            self._block,
            self._reactor,
            self._plan.program,
            self._plan.folder,
            self._history.broken,
        )

    def _client(self) -> Client:
        client = Client(
            self._reactor,
            Random(self._random.random()),
            self._history,
            lambda: f"{self._plan.seed:x}-{next(self._ids):x}",
            self._choose_front,
            lambda row, answer, is_first: None,
            lambda instance, row: None,
        )
        client.resumes = True
        return client

    def _choose_front(self) -> Front:
        ready = [front for front in self._fronts if front.ready]
        return self._random.choice(ready or self._fronts)

    def _start_endpoint(
        self,
        slot: int,
        on_ready: Callable[[EndpointProcess], None] | None = None,
    ) -> None:
        if self._over:
            return
        service = self._services[slot]
        host, port = self._block.endpoint(20 + slot)
        spec = EndpointSpec(
            f"i-{service}{next(self._numbers)}",
            service,
            host,
            port,
            self._random.choice(_FRAMINGS),
            self._random.choice(_LINE_ENDS),
            str(self._plan.folder / f"endpoint-{slot}.runs"),
            int(self._reactor.seconds() * 1000),
            _EVENTS,
            _GAP_S,
            software=self._software[slot],
        )
        process = EndpointProcess(
            spec, on_ready or self._list, partial(self._restart_ended, slot)
        )
        self._processes[slot] = process
        process.start(self._reactor)

    def _row(self, spec: EndpointSpec, state: str) -> dict:
        models = [{"name": "m", "version": spec.weights}]
        return {
            "service": spec.service,
            "address": f"{spec.host}:{spec.port}",
            "zone": "ab"[spec.port % 2],
            "version": spec.software,
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "models": models if spec.service == "llm" else [],
            "born": spec.born_ms,
        }

    def _list(self, process: EndpointProcess, state: str = "ready") -> None:
        spec = process.spec
        self._write(f"servers/{spec.instance}", self._row(spec, state))

    def _unlist(self, process: EndpointProcess) -> None:
        self._kv._remove(f"servers/{process.spec.instance}")

    def _add_engine(
        self, software: str, on_ready: Callable[[EndpointProcess], None]
    ) -> None:
        """Starts an engine of a version, which is not listed yet."""
        slot = len(self._services)
        self._services.append("llm")
        self._software.append(software)
        self._start_endpoint(slot, on_ready)

    def _listed_engines(self) -> list[EndpointProcess]:
        """Returns the engines of all versions but the newest."""
        return [
            process
            for process in self._processes.values()
            if process.spec.service == "llm"
            and process.spec.software != self._release.software
            and process.state is not ProcessState.ENDED
        ]

    def _restart_ended(self, slot: int, process: EndpointProcess) -> None:
        """Starts another endpoint in place of one that no release replaced."""
        is_old = process.spec.software != self._release.software
        if self._over or (process.spec.service == "llm" and is_old):
            return
        self._later(
            _LAPSE_S, self._kv._remove, f"servers/{process.spec.instance}"
        )
        self._later(self._random.uniform(0.2, 2.0), self._start_endpoint, slot)

    def _some_endpoint(self) -> EndpointProcess | None:
        """Returns an endpoint that its service can spare, if there is one."""
        up = [
            process
            for process in self._processes.values()
            if process.state is ProcessState.UP
        ]
        per_service = Counter(process.spec.service for process in up)
        spare = [
            process
            for process in up
            if per_service[process.spec.service] > _LEAST_UP
        ]
        return self._random.choice(spare) if spare else None

    def _kill_endpoint(self) -> None:
        process = self._some_endpoint()
        if process is not None:
            process.send_signal(signal.SIGKILL)

    def _pause_endpoint(self) -> None:
        process = self._some_endpoint()
        if process is not None:
            process.pause()
            self._later(self._random.uniform(0.1, 1.5), process.resume)

    def _kill_paused_endpoint(self) -> None:
        """Kills an endpoint with requests unread, which resets them."""
        process = self._some_endpoint()
        if process is not None:
            process.pause()
            self._later(
                self._random.uniform(0.1, 0.5),
                process.send_signal,
                signal.SIGKILL,
            )

    def _stop_endpoint(self) -> None:
        process = self._some_endpoint()
        if process is not None:
            process.state = ProcessState.LEAVING
            self._list(process, "draining")
            self._later(_DRAIN_S, process.send_signal, signal.SIGTERM)

    def _terminate_endpoint(self) -> None:
        """Ends an endpoint in order, without a word before."""
        process = self._some_endpoint()
        if process is not None:
            process.send_signal(signal.SIGTERM)

    def _some_machine(self) -> Machine:
        return self._random.choice(self._machines)

    def _pause_machine(self) -> None:
        machine = self._some_machine()
        machine.pause()
        self._later(self._random.uniform(0.1, 2.0), machine.resume)

    def _kill_machine(self) -> None:
        self._some_machine().kill()

    def _stop_machine(self) -> None:
        self._some_machine().stop()

    def _release_beside_cut(self) -> None:
        if self._release.begin():
            self._counts["releases"] += 1

    def _look(self) -> None:
        for machine in self._machines:
            machine.look()
        self._timers = [timer for timer in self._timers if timer.active()]

    def _ask_ready(self) -> None:
        ask_fronts(self._asker, self._block, self._fronts)

    def _await_ready(self, limit: float) -> None:
        states = {process.state for process in self._processes.values()}
        listening = states == {ProcessState.UP}
        if listening and all(front.ready for front in self._fronts):
            self._begin()
        elif self._reactor.seconds() > limit:
            self._history.broken("START", "processes are not ready")
            self._finish()
        else:
            self._later(0.1, self._await_ready, limit)

    def _begin(self) -> None:
        for client in self._clients:
            client.start()
        kinds = self._plan.only or tuple(SIGNALS)
        weights = [SIGNALS[kind] for kind in kinds]
        if not any(weights):
            weights = [1] * len(kinds)
        at = 0.5
        while at < self._plan.seconds:
            kind = self._random.choices(kinds, weights)[0]
            self._later(at, self._inject, kind)
            at += self._random.expovariate(1 / _FAULTS_GAP_S)
        self._later(self._plan.seconds + _SETTLE_S, self._finish)

    def _inject(self, kind: str) -> None:
        self._counts[kind] += 1
        getattr(self, f"_{kind}")()

    def _finish(self) -> None:
        for client in self._clients:
            client.stop()
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self.close()
        for path in self._plan.folder.glob("endpoint-*.runs"):
            self._history.ran.update(path.read_text().split())
        self._history.finish()
        for port in self._ports:
            port.stopListening()
        self._block.release()
        self._done(
            Report(
                self._plan.seed,
                len(self._history.sent),
                dict(sorted(self._history.outcomes.items())),
                dict(sorted(self._counts.items())),
                tuple(self._history.violations),
            )
        )
