"""Ledgers converge to the actual load after any sequence of faults."""

from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from twisted.internet.task import Clock

from tests.owners.fleet import Fleet

ENTRIES, ENGINES = 5, 4
# Time for a probe of an unresponsive owner, a repeat of the shares, and the
# expiry of a dead entry's shares.
CONVERGENCE_S = 6.5

numbers = st.integers(0, ENTRIES - 1)
engines = st.integers(0, ENGINES - 1)


class OwnersMachine(RuleBasedStateMachine):
    """Entries with work, kills, restarts, suspensions and network faults."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(Clock(), ENTRIES, ENGINES)
        self.random = Random(4)
        self.disconnected = set()
        self.loss = 0.0
        self.fleet.is_lost = self.is_lost

    def is_lost(self, sender, to):
        """Returns whether a datagram is lost."""
        if sender == to:
            return False
        disconnected = sender in self.disconnected or to in self.disconnected
        return disconnected or self.random.random() < self.loss

    def entry(self, number):
        """Returns an entry by its number."""
        return list(self.fleet.entries.values())[number]

    @rule(number=numbers, engine=engines)
    def request_starts(self, number, engine):
        """An entry sends a request."""
        if self.entry(number).alive:
            self.entry(number).start_request(
                f"i-{engine}", unread=1000, held=1000
            )

    @rule(number=numbers, engine=engines)
    def requests_end(self, number, engine):
        """All requests of one entry at one engine end."""
        if self.entry(number).alive:
            self.entry(number).end_requests(f"i-{engine}")

    @rule(number=numbers)
    def is_killed(self, number):
        """An entry is killed; its requests are aborted."""
        self.entry(number).alive = False
        self.entry(number).work.clear()

    @rule(number=numbers)
    def restarts(self, number):
        """A killed entry restarts without state."""
        if not self.entry(number).alive:
            self.fleet.add_entry(number)
            self.fleet.sync_entries()

    @rule(number=numbers, seconds=st.floats(0.1, 4.0))
    def is_suspended(self, number, seconds):
        """An entry is suspended; messages to it are lost or late."""
        entry = self.entry(number)
        if entry.alive:
            entry.alive = False
            self.fleet.pass_time(seconds)
            entry.alive = True

    @rule(number=numbers)
    def is_disconnected(self, number):
        """An entry is disconnected from all others."""
        self.disconnected.add(self.entry(number).address)

    @rule()
    def network_recovers(self):
        """All entries are connected again."""
        self.disconnected.clear()

    @rule(share=st.floats(0.0, 0.6), latency_s=st.floats(0.0005, 0.05))
    def network_degrades(self, share, latency_s):
        """Datagrams are lost, delayed and thus reordered."""
        self.loss = share
        self.fleet.latency_s = latency_s

    @rule(number=numbers)
    def membership_is_stale(self, number):
        """An entry has an outdated set of registered entries."""
        weights = dict.fromkeys(list(self.fleet.entries)[:3], 1.0)
        self.entry(number).owners.entries(weights)

    @rule(seconds=st.floats(0.005, 1.0))
    def time_passes(self, seconds):
        """Time passes without other events."""
        self.fleet.pass_time(seconds)

    @rule(number=numbers)
    def queries(self, number):
        """An entry queries all engines."""
        if self.entry(number).alive:
            self.fleet.ask(self.entry(number), self.fleet.engines)

    def teardown(self):
        """All faults end; each entry must then get the actual load."""
        self.disconnected.clear()
        self.loss = 0.0
        self.fleet.latency_s = 0.001
        for number in range(ENTRIES):
            self.restarts(number)
        self.fleet.sync_entries()
        self.fleet.pass_time(CONVERGENCE_S, 0.02)
        for querier in self.fleet.entries.values():
            states = self.fleet.ask(querier, self.fleet.engines)
            for engine in self.fleet.engines:
                expected = sum(
                    entry.work.get(engine, (0, 0, 0))[0]
                    for entry in self.fleet.entries.values()
                    if entry is not querier
                )
                state = states.get(engine)
                assert state is not None, engine
                assert state.running == expected, (engine, state, expected)


OwnersMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
ConvergenceTest = OwnersMachine.TestCase
