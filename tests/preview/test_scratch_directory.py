"""Copies of endpoints take what owners reply, and the originals nothing.

They guard against a gateway that comes to believe in another way than by its
requests: an endpoint that leaves, limits or is cold at a preview's word, and
log lines that nobody can trace.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.loadqueryclient import LoadQueryClient
from magnolialug.owners.messages import LoadReply, QueriedEndpoint
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.limitnotice import ReportedNotice
from magnolialug.policy.sharedload import EndpointState
from magnolialug.preview.explanation import Outcome
from magnolialug.preview.scratchdirectory import ScratchDirectory
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines
from tests.preview.asking import PROMPT, preview

ME = ("10.0.0.1", 7000)


def operator():
    """Returns a configuration whose plain endpoints have cold starts."""
    base = config()
    desk = {**base["services"][0], "coldStartS": 3.0, "coldPerS": 2.0}
    return {**base, "services": [desk, *base["services"][1:]]}


def dumped(value, seen=()):
    """Returns a value with all that its attributes hold, as text."""
    if id(value) in seen or callable(value):
        return "..."
    seen = (*seen, id(value))
    if isinstance(value, dict):
        return {str(k): dumped(v, seen) for k, v in value.items()}
    if type(value).__module__.startswith("magnolialug.policy"):
        fields = getattr(value, "__struct_fields__", None) or vars(value)
        return {n: dumped(getattr(value, n), seen) for n in fields}
    if isinstance(value, list | tuple | set) or hasattr(value, "popleft"):
        return [dumped(row, seen) for row in value]
    return repr(value)


class CopyTest(TestCase):
    """An endpoint of each kind that has served a request."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(desks=1, engines=1, operator=operator())
        self.cluster.pass_time(2)
        self.cluster.ask("/read/x")
        self.cluster.ask("/draft/x")
        self.directory = self.cluster.gateway.directory
        self.now = self.cluster.net.seconds()

    def originals(self):
        """Returns all that the gateway holds of its endpoints."""
        return {
            name: [
                dumped(vars(peer)),
                peer.pool.limit,
                [conn.usable for conn in peer.pool._idle],
            ]
            for name, peer in self.directory.peers.items()
        }

    def test_an_owners_reply_reaches_the_copy_alone(self):
        before = self.originals()
        lines = collect_lines(self)
        scratch = ScratchDirectory(self.directory)
        for name in self.directory.peers:
            copied = scratch.peers[name]
            reply = EndpointState(
                name,
                (500,),
                9000,
                4,
                weights={"m": 7},
                min_weights={"n": 3},
                cold_ms=2000,
                notice=ReportedNotice("a", 2.0, 20, 10),
                connections=30,
                leaving=True,
            )
            copied.apply_shared_state(reply, self.now)
            self.assertTrue(copied.leaving)
            self.assertTrue(copied.cold.is_cold(self.now))
            self.assertEqual(2.0, copied.limit.rate)
            self.assertEqual(7, copied.weights("m"))
            self.assertFalse(copied.pool.has_capacity)
            copied.record_sent(self.now)
            copied.record_refusal(self.now)
        self.assertEqual(before, self.originals())
        self.assertEqual([], lines)

    def test_an_endpoint_is_copied_once_and_when_it_is_looked_at(self):
        """Guards against previews that cost more with each endpoint."""
        scratch = ScratchDirectory(self.directory)
        self.assertEqual({}, scratch.copies)
        (name,) = self.cluster.engines
        self.assertIs(scratch.peers[name], scratch.peers.get(name))
        self.assertEqual([name], list(scratch.copies))
        self.assertIsNone(scratch.peers.get(EndpointId("i-none")))

    def test_running_requests_are_shared_and_stay_as_they_are(self):
        """Guards against copies that take long, and against lost requests."""
        for engine in self.cluster.engines.values():
            engine.work_s = 5.0
        for _ in range(3):
            self.cluster.send("/draft/x")
        self.cluster.pass_time(0.2)
        (name,) = self.cluster.engines
        load = self.directory.peers[name].load
        copied = ScratchDirectory(self.directory).peers[name].load
        self.assertIs(load._running, copied._running)
        self.assertIs(load._estimator, copied._estimator)
        before = dumped([load._running, load._estimator])
        self.assertEqual(3, load.running)
        self.assertEqual(Outcome.SENT, preview(self.cluster, **PROMPT).outcome)
        self.assertEqual(before, dumped([load._running, load._estimator]))

    def test_what_the_copies_know_tells_why_nothing_is_sent(self):
        """Guards against a refusal by a limit that the owner has ended."""
        scratch = ScratchDirectory(self.directory)
        (name,) = self.cluster.desks
        scratch.peers[name].rest.record(5.0, self.now)
        self.assertTrue(scratch.is_resting("desk"))
        self.assertFalse(self.directory.is_resting("desk"))


class OneReply:
    """Queries that one owner answers with news."""

    def __init__(self):
        self.queries = []

    async def ask(self, owners):
        """Returns the reply of each owner."""
        self.queries += [make(1) for make in owners.values()]
        state = EndpointState("i-1", (), 0, 0)
        return [LoadReply(1, (state,), evacuated=EvacuatedZones(("a",), 9))]


class NoAnnouncements:
    """An entry that has received no announcements."""

    rollout = None
    rollout_received_at = changed_at = float("-inf")
    current = EvacuatedZones()


class AnnouncementTest(TestCase):
    """Owners add news to their replies."""

    def test_a_preview_takes_no_news(self):
        """Guards against a zone that is evacuated by way of a preview."""
        taken = []
        nothing = NoAnnouncements()
        news = Dissemination(nothing, nothing, nothing, lambda: 0.0)
        self.patch(news, "take", taken.append)
        ring = OwnerRing(ME, lambda: 0.0)
        pending = OneReply()
        client = LoadQueryClient("e", ring, pending, news)
        rows = [QueriedEndpoint("i-1")]
        for asked in (client.for_preview(pending), client):
            with_state = asked.ask(rows, ())
            try:
                with_state.send(None)
            except StopIteration as done:
                self.assertEqual(["i-1"], list(done.value))
        self.assertEqual(1, len(taken))
        self.assertEqual(
            [True, False], [query.is_preview for query in pending.queries]
        )
        self.assertEqual({"e"}, {query.entry for query in pending.queries})
