"""An accepted configuration is in force everywhere and never reverts."""

from random import Random

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.config.current import Current, make_doc
from magnolialug.config.deployment import from_text, to_text
from magnolialug.config.folder import read_folder
from magnolialug.confload import from_kv, load_highest
from magnolialug.confstore import HEAD_KEY, apply_text, read_doc, read_head
from magnolialug.entry.configwatch import ConfigWatch
from magnolialug.entry.retryloop import Served
from magnolialug.result import Code, Executed, Failure
from magnolialug.standin.kv import KvStore
from magnolialug.wire.messages import ConfigDoc
from magnolialug.wire.queries import query_config
from tests.harness import EXAMPLE, Cluster

TEXT = to_text(read_folder(str(EXAMPLE)))


def with_name(name: str) -> str:
    return TEXT.replace('"name":"tiszavirag"', f'"name":"{name}"')


def now(work):
    """Returns the result of a coroutine that needs no time."""
    return ensureDeferred(work).result


class Watched:
    """Some entries' configurations and watches on one KV."""

    def __init__(self, count: int):
        self.clock = Clock()
        self.clock.advance(1000)
        self.kv = KvStore(self.clock)
        self.currents = []
        self.watches = []
        for number in range(count):
            self.add(number)
        self.run(2)

    def add(self, number: int) -> None:
        current = Current()
        watch = ConfigWatch(
            f"entry-{number}",
            current,
            self.kv,
            self.clock,
            Random(number),
            self.clock.seconds,
        )
        watch.start()
        self.currents.append(current)
        self.watches.append(watch)

    def apply(self, text: str, base: int, change_id: str):
        return now(
            apply_text(
                self.kv, text, base, change_id, "test", self.clock.seconds
            )
        )

    def run(self, seconds: float, gossip: bool = True) -> None:
        for _ in range(int(seconds * 4)):
            self.clock.advance(0.25)
            if gossip:
                self.pass_on()

    def pass_on(self) -> None:
        """Does what the sidecars do between entries: beats and versions."""
        best = max(self.currents, key=lambda current: current.version)
        beat = max(current.beat for current in self.currents)
        for current in self.currents:
            current.heard(beat)
            if best.doc:
                current.offer(best.doc)

    @property
    def versions(self) -> set[int]:
        return {current.version for current in self.currents}


class ApplyTest(TestCase):
    """Operators change the configuration."""

    def setUp(self):
        super().setUp()
        self.kv = KvStore(Clock())

    def apply(self, text, base, change_id):
        return now(
            apply_text(self.kv, text, base, change_id, "test", lambda: 1.0)
        )

    def test_lost_answer_makes_exactly_one_version(self):
        """The head is written, the operator does not hear of it.

        Symptom: two versions of one change, or a change reported as failed
        that is in force. Cause: an unanswered write may have taken effect;
        the change id tells whose it was, also when tried again.
        """
        for lost in (1, 2):
            self.kv = KvStore(Clock())
            self.kv.faults.lose_answers = lost
            change = self.apply(TEXT, 0, "mine")
            while not hasattr(change, "version"):
                change = self.apply(TEXT, 0, "mine")
            self.assertEqual(1, change.version)
            again = self.apply(TEXT, 0, "mine")
            self.assertEqual(1, again.version)
            self.assertEqual(1, now(read_head(self.kv)).version)

    def test_operators_race(self):
        """Two operators change the same version.

        Symptom: one change silently undoes the other. Cause: both started
        from the same base; the later one is refused whole.
        """
        self.apply(TEXT, 0, "first")
        won = self.apply(with_name("a"), 1, "a")
        lost = self.apply(with_name("b"), 1, "b")
        self.assertEqual(2, won.version)
        self.assertEqual(Code.CONFIG_CONFLICT, lost.code)
        head = now(read_head(self.kv))
        doc = now(read_doc(self.kv, head.changes[0]))
        self.assertEqual(with_name("a"), doc.text)

    def test_text_over_a_megabyte(self):
        big = TEXT[:-1] + "," + '"x":"' + "y" * 2_500_000 + '"}'
        change = self.apply(big, 0, "big")
        self.assertGreater(len(change.chunks), 2)
        self.assertEqual(big, now(read_doc(self.kv, change)).text)

    def test_old_chunks_are_freed_and_those_in_history_kept(self):
        for number in range(60):
            self.apply(with_name(f"n{number}"), number, f"c{number}")
        head = now(read_head(self.kv))
        self.assertEqual(60, head.version)
        for change in head.changes:
            self.assertIsInstance(now(read_doc(self.kv, change)), ConfigDoc)
        rows = now(self.kv.scan("magnolialug/config/chunk/"))
        self.assertEqual(len(head.changes), len(rows))


class CurrentTest(TestCase):
    """One process's configuration."""

    def test_only_higher_and_whole_versions_are_applied(self):
        """Notices come late, twice, torn or from a restored backup.

        Symptom: an old limit or key is back. Cause: whoever offers a
        version may be behind; only a higher, whole one is applied.
        """
        current = Current()
        cases = (
            (make_doc(2, TEXT), 2, None),
            (make_doc(1, TEXT), 2, None),
            (make_doc(2, with_name("x")), 2, None),
            (ConfigDoc(9, "0" * 32, TEXT), 2, Code.BAD_CONFIG_SYNTAX),
            (make_doc(9, "{}"), 2, Code.BAD_CONFIG_SYNTAX),
            (make_doc(3, with_name("x")), 3, None),
            (make_doc(2, TEXT), 3, None),
        )
        for doc, version, code in cases:
            failure = current.offer(doc)
            self.assertEqual(version, current.version)
            self.assertEqual(code, failure.code if failure else None)
        self.assertEqual("x", current.deployment.deployment.name)


class WatchTest(TestCase):
    """The few watchers and the many others."""

    def test_calls_do_not_grow_with_the_fleet(self):
        """Every entry asks the KV.

        Symptom: the KV's rates are spent on configuration. Cause: each
        process watching and reading for itself; three do it for all.
        """
        calls = []
        for count in (10, 100):
            fleet = Watched(count)
            fleet.apply(TEXT, 0, "one")
            fleet.run(5)
            self.assertEqual({1}, fleet.versions)
            before = sum(fleet.kv.calls.values())
            fleet.run(120)
            calls.append(sum(fleet.kv.calls.values()) - before)
            self.assertEqual(3, sum(w.holds for w in fleet.watches))
        self.assertLessEqual(calls[1], calls[0] * 1.2)

    def test_in_force_within_5_s(self):
        fleet = Watched(40)
        fleet.apply(TEXT, 0, "one")
        fleet.run(5)
        self.assertEqual({1}, fleet.versions)

    def test_watch_goes_deaf(self):
        """A watch stays open and reports nothing any more.

        Symptom: a change is in force nowhere until somebody restarts.
        Cause: the connection is lost track of; holders also read the head.
        """
        fleet = Watched(5)
        fleet.kv.faults.deaf_watches = True
        fleet.apply(TEXT, 0, "one")
        fleet.run(35)
        self.assertEqual({1}, fleet.versions)

    def test_in_force_within_5_s_though_all_watches_are_deaf(self):
        """Guards against an old configuration behind a lost watch."""
        for moment in range(4):
            fleet = Watched(5)
            fleet.run(20 + 0.7 * moment)
            fleet.kv.faults.deaf_watches = True
            fleet.apply(TEXT, 0, "one")
            fleet.run(5)
            self.assertEqual({1}, fleet.versions)

    def test_watchers_die(self):
        """All three watchers are gone at once.

        Symptom: no change comes into force any more. Cause: the others wait
        for their beat; when it stops, some take over the slots.
        """
        fleet = Watched(12)
        for watch in [w for w in fleet.watches if w.holds]:
            number = fleet.watches.index(watch)
            watch.stop()
            del fleet.watches[number], fleet.currents[number]
        fleet.run(40)
        fleet.apply(TEXT, 0, "one")
        fleet.run(5)
        self.assertEqual({1}, fleet.versions)
        self.assertLessEqual(sum(w.holds for w in fleet.watches), 3)

    def test_kv_away_then_restored_older(self):
        """The KV is down, and comes back from a backup.

        Symptom: the configuration is lost or goes back. Cause: what the KV
        offers is older than what is in force; it is not applied.
        """
        fleet = Watched(4)
        fleet.apply(TEXT, 0, "one")
        backup = fleet.kv._rows[HEAD_KEY]
        fleet.apply(with_name("two"), 1, "two")
        fleet.run(5)
        self.assertEqual({2}, fleet.versions)
        fleet.kv.faults.down = True
        fleet.run(60)
        self.assertEqual({2}, fleet.versions)
        fleet.kv.faults.down = False
        fleet.kv._rows[HEAD_KEY] = backup
        fleet.run(60)
        self.assertEqual({2}, fleet.versions)

    def test_paused_holder_knows_that_its_lease_is_over(self):
        """A watcher is paused beyond its lease and wakes.

        Symptom: more watchers than slots. Cause: the holder still believes
        it holds the slot; its own clock, less a margin, tells it first.
        """
        fleet = Watched(1)
        self.assertTrue(fleet.watches[0].holds)
        fleet.clock.rightNow += 20
        self.assertFalse(fleet.watches[0].holds)


def without(text: str, section: str, names: tuple[str, ...]) -> str:
    """Returns a configuration's text without some items."""
    deployment = from_text(text)
    items = {
        name: item
        for name, item in getattr(deployment, section).items()
        if name not in names
    }
    return to_text(msgspec.structs.replace(deployment, **{section: items}))


class RemovalTest(TestCase):
    """A change removes what is in use."""

    def test_work_in_progress_ends_well_and_new_work_is_refused(self):
        """Endpoints, teams, services and models go while they are in use.

        Symptom: a process fails on a name it no longer knows, and answers
        are cut. Sequence: streams run and wait; a change without one item
        comes into force. Cause: state outlives the configuration that made
        it; each look-up of a name must do without.
        """
        cases = (
            ("endpoints", ("model-1",)),
            ("endpoints", ("model-1", "model-2")),
            ("teams", ("members",)),
            ("services", ("language",)),
            ("models", ("guide",)),
        )
        for section, names in cases:
            cluster = Cluster(bookings=0)
            running = [
                cluster.call(n % 2, cluster.prompt(f"p{n}", 30))
                for n in range(24)
            ]
            cluster.run(0.05)
            text = without(cluster.text, section, names)
            cluster.entries[0].current.offer(make_doc(2, text))
            for outcome in running:
                result = cluster.finish(outcome)
                if isinstance(result, Failure):
                    self.assertIs(Executed.NO, result.executed, (names, result))
                else:
                    self.assertEqual(30, len(outcome.sink.pieces))
            cluster.run(2)
            for app in cluster.sidecars.values():
                self.assertEqual(2, app.current.version, names)

    def test_removed_endpoint_drains(self):
        cluster = Cluster(bookings=0)
        text = without(cluster.text, "endpoints", ("model-1",))
        cluster.entries[0].current.offer(make_doc(2, text))
        cluster.run(2)
        self.assertTrue(cluster.sidecars["model-1"].gate.draining)
        outcome = cluster.call(1, cluster.prompt("after"))
        cluster.finish(outcome)
        self.assertEqual(0, cluster.engines["model-1"].runs)
        cluster.entries[0].current.offer(make_doc(3, cluster.text))
        cluster.sidecars["model-1"].current.offer(make_doc(3, cluster.text))
        cluster.run(2)
        cluster.net.unreachable.add("model-2")
        cluster.start_sidecar("model-2")
        again = cluster.call(0, cluster.prompt("again"))
        self.assertIsInstance(cluster.finish(again), Served)
        self.assertEqual(1, cluster.engines["model-1"].runs)


class PeersTest(TestCase):
    """Versions travel over the connections that exist anyway."""

    def test_one_entry_tells_all(self):
        cluster = Cluster(entries=3)
        text = cluster.text.replace('"tiszavirag"', '"changed"')
        cluster.entries[0].current.offer(make_doc(2, text))
        cluster.run(5)
        apps = [*cluster.entries, *cluster.sidecars.values()]
        self.assertEqual({2}, {app.current.version for app in apps})
        self.assertEqual(text, to_text(from_text(text)))

    def test_fresh_process_starts_while_the_kv_is_away_or_restored(self):
        """A VM is replaced while the KV is down, or came back older.

        Symptom: the fresh process does not start, or starts with what had
        been changed. Cause: the KV alone was believed; the peers have the
        version in force, and the highest one wins.
        """
        for fault in ("away", "older"):
            cluster = Cluster(entries=1)
            now(
                apply_text(
                    cluster.kv, cluster.text, 0, "old", "test", lambda: 1.0
                )
            )
            cluster.kv.faults.down = fault == "away"
            text = cluster.text.replace('"tiszavirag"', '"changed"')
            cluster.sidecars["model-1"].current.offer(make_doc(4, text))

            def peer(name, cluster=cluster):
                return lambda: query_config(
                    lambda: cluster._connect(name), cluster.clock, 2.0
                )

            cluster.net.unreachable.add("booking-1")
            names = ("booking-1", "model-1", "model-2")
            sources = [from_kv(cluster.kv), *map(peer, names)]
            current = Current()
            ensureDeferred(
                load_highest(sources, current, cluster.clock, Random(1))
            )
            cluster.run(3)
            self.assertEqual(4, current.version, fault)

    def test_fresh_process_waits_for_the_first_configuration(self):
        clock = Clock()
        kv = KvStore(clock)
        current = Current()
        fut = ensureDeferred(
            load_highest([from_kv(kv)], current, clock, Random(1))
        )
        clock.pump([0.5] * 10)
        self.assertFalse(fut.called)
        now(apply_text(kv, TEXT, 0, "first", "test", lambda: 1.0))
        clock.pump([0.5] * 10)
        self.assertEqual(1, current.version)

    def test_fresh_entry_takes_the_highest_from_a_sidecar(self):
        cluster = Cluster(entries=1)
        text = cluster.text.replace('"tiszavirag"', '"changed"')
        cluster.sidecars["model-1"].current.offer(make_doc(7, text))
        cluster.run(3)
        fresh = cluster.new_entry()
        cluster.run(3)
        self.assertEqual(7, fresh.current.version)
