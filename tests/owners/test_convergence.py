"""Whatever happened, owners know the truth soon after it has ended."""

from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from twisted.internet.task import Clock

from tests.owners.fleet import Fleet

ENTRIES, ENGINES = 5, 4
# A probe of an owner that was missing, a repeat of the shares, and the time for
# which a dead entry's shares count.
SETTLED_S = 6.5

numbers = st.integers(0, ENTRIES - 1)
engines = st.integers(0, ENGINES - 1)


class HomesMachine(RuleBasedStateMachine):
    """Entries that work, die, are cut off, suspended and told late."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(Clock(), ENTRIES, ENGINES)
        self.random = Random(4)
        self.cut = set()
        self.loss = 0.0
        self.fleet.loses = self.loses

    def loses(self, sender, to):
        """Tells whether a datagram gets lost."""
        if sender == to:
            return False
        cut = sender in self.cut or to in self.cut
        return cut or self.random.random() < self.loss

    def entry(self, number):
        """Returns an entry by its number."""
        return list(self.fleet.entries.values())[number]

    @rule(number=numbers, engine=engines)
    def work_begins(self, number, engine):
        """A request is sent."""
        if self.entry(number).alive:
            self.entry(number).sends(f"i-{engine}", unread=1000, held=1000)

    @rule(number=numbers, engine=engines)
    def work_ends(self, number, engine):
        """All requests of one entry at one engine are over."""
        if self.entry(number).alive:
            self.entry(number).ends(f"i-{engine}")

    @rule(number=numbers)
    def dies(self, number):
        """An entry is killed; what it had sent is broken off."""
        self.entry(number).alive = False
        self.entry(number).work.clear()

    @rule(number=numbers)
    def starts_again(self, number):
        """A killed entry starts again, with nothing."""
        if not self.entry(number).alive:
            self.fleet.join(number)
            self.fleet.agree()

    @rule(number=numbers, seconds=st.floats(0.1, 4.0))
    def is_suspended(self, number, seconds):
        """A machine stands still; what is sent to it is lost or late."""
        entry = self.entry(number)
        if entry.alive:
            entry.alive = False
            self.fleet.pass_time(seconds)
            entry.alive = True

    @rule(number=numbers)
    def is_cut_off(self, number):
        """An entry reaches no other one."""
        self.cut.add(self.entry(number).address)

    @rule()
    def heals(self):
        """All are reached again."""
        self.cut.clear()

    @rule(share=st.floats(0.0, 0.6), latency_s=st.floats(0.0005, 0.05))
    def network_gets_worse(self, share, latency_s):
        """Datagrams get lost, late, and so overtake each other."""
        self.loss = share
        self.fleet.latency_s = latency_s

    @rule(number=numbers)
    def one_hears_of_fewer(self, number):
        """An entry's view of who is registered lags behind."""
        weights = dict.fromkeys(list(self.fleet.entries)[:3], 1.0)
        self.entry(number).owners.entries(weights)

    @rule(seconds=st.floats(0.005, 1.0))
    def time_passes(self, seconds):
        """Nothing else happens for a while."""
        self.fleet.pass_time(seconds)

    @rule(number=numbers)
    def asks(self, number):
        """An entry asks about all engines."""
        if self.entry(number).alive:
            self.fleet.ask(self.entry(number), self.fleet.engines)

    def teardown(self):
        """All ends well: everybody is told the truth of all engines."""
        self.cut.clear()
        self.loss = 0.0
        self.fleet.latency_s = 0.001
        for number in range(ENTRIES):
            self.starts_again(number)
        self.fleet.agree()
        self.fleet.pass_time(SETTLED_S, 0.02)
        for asker in self.fleet.entries.values():
            told = self.fleet.ask(asker, self.fleet.engines)
            for engine in self.fleet.engines:
                truth = sum(
                    entry.work.get(engine, (0, 0, 0))[0]
                    for entry in self.fleet.entries.values()
                    if entry is not asker
                )
                state = told.get(engine)
                assert state is not None, engine
                assert state.running == truth, (engine, state, truth)


HomesMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
ConvergenceTest = HomesMachine.TestCase
