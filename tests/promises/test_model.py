"""Bookings and prompts under random faults, against a model.

The model is small: whatever happens, a booking runs at most once, a call
that was refused as not run handed nothing over, and an answer is whole and
the caller's own.
"""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from magnolialug.entry.retryloop import Served
from magnolialug.result import Executed
from magnolialug.standin.engine import answer_piece
from tests.harness import Cluster, Fate

ENTRIES = st.integers(0, 1)
KEYS = st.sampled_from(["a", "b"])
ENDPOINTS = st.sampled_from(["booking-1", "booking-2", "model-1", "model-2"])
LAST_WAIT_S = 150
TOKENS = 6


class FaultMachine(RuleBasedStateMachine):
    """Two entries, four sidecars, a KV, and everything that can go wrong."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.held = []

    @rule(entry=ENTRIES, key=KEYS)
    def book(self, entry, key):
        body = f'{{"canoe": "{key}"}}'
        self.cluster.call(entry, self.cluster.booking(key, body))

    @rule(entry=ENTRIES, name=KEYS)
    def ask(self, entry, name):
        call = self.cluster.prompt(f"river {name}", TOKENS)
        self.cluster.call(entry, call)

    @rule(steps=st.integers(1, 40))
    def wait(self, steps):
        self.cluster.run(steps * 0.01)

    @rule()
    def wait_long(self):
        self.cluster.run(7, 0.1)

    @rule(
        skip=st.integers(0, 6),
        fate=st.sampled_from([Fate.CUT_BEFORE, Fate.CUT_AFTER, Fate.SILENCE]),
    )
    def strike(self, skip, fate):
        left = [skip]

        def decide(transport, data):
            left[0] -= 1
            return fate if left[0] == -1 else Fate.DELIVER

        self.cluster.net.fate = decide

    @rule()
    def hold_next_dispatch(self):
        taken = []

        def decide(transport, data):
            if b"dispatch" in data and not taken:
                taken.append(1)
                self.held.append((transport.peer, data))
                return Fate.HOLD
            return Fate.DELIVER

        self.cluster.net.fate = decide

    @rule()
    def release_held(self):
        for peer, data in self.held:
            self.cluster.net.deliver(peer, data)
        self.held.clear()

    @rule()
    def silence(self):
        self.cluster.net.silence()

    @rule(down=st.booleans())
    def kv(self, down):
        self.cluster.kv.faults.down = down

    @rule(count=st.integers(1, 3))
    def lose_kv_answers(self, count):
        self.cluster.kv.faults.lose_answers = count

    @rule(name=ENDPOINTS)
    def restart_sidecar(self, name):
        self.cluster.start_sidecar(name)

    @rule(number=ENTRIES)
    def kill_entry(self, number):
        self.cluster.kill_entry(number)

    @rule(name=ENDPOINTS, draining=st.booleans())
    def drain(self, name, draining):
        self.cluster.sidecars[name].gate.draining = draining

    @invariant()
    def runs_at_most_once(self):
        for name, engine in self.cluster.engines.items():
            if name.startswith("booking"):
                for other in ("booking-1", "booking-2"):
                    if other != name:
                        both = engine.runs + self.cluster.engines[other].runs
                        assert all(n <= 1 for n in both.values()), both

    @invariant()
    def refused_did_not_run(self):
        handed = set(self.cluster.handed)
        for outcome in self.cluster.outcomes:
            result = outcome.result
            if result is None or isinstance(result, Served):
                continue
            if result.executed is Executed.NO:
                assert not handed.intersection(outcome.sink.ids), result

    @invariant()
    def answers_are_whole_and_own(self):
        for outcome in self.cluster.outcomes:
            if not isinstance(outcome.result, Served):
                continue
            body = outcome.call.body
            if outcome.call.kind.idempotent:
                pieces = [answer_piece(body, n + 1) for n in range(TOKENS)]
                assert outcome.sink.text == "".join(pieces)
            else:
                assert f"{body[2:7]}" in outcome.sink.text
                assert outcome.sink.text.count('"run":1') == 1

    def teardown(self):
        self.cluster.net.fate = lambda transport, data: Fate.DELIVER
        self.cluster.kv.faults.down = False
        self.cluster.run(LAST_WAIT_S, 0.5)
        self.refused_did_not_run()
        self.answers_are_whole_and_own()
        self.runs_at_most_once()
        for outcome in self.cluster.outcomes:
            if outcome.entry is not None:
                assert outcome.result is not None, outcome.call


FaultMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
ModelTest = FaultMachine.TestCase
