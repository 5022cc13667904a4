"""Two entries follow each store; all others ask them."""

import itertools

from testtools import TestCase

from magnolialug.owners.messages import LoadReport
from magnolialug.policy.prompt import Part
from magnolialug.policy.sharedload import WorkShare
from magnolialug.policy.storeindex import PartStatus
from magnolialug.policy.storemap import StoreMap, StoreTraits
from magnolialug.prefixcache.messages import (
    PartQuery,
    PartReply,
    PartState,
    SaveNotice,
)
from magnolialug.prefixcache.queryclient import PartQueryClient
from tests.gatewaycluster import GatewayCluster

VMS = tuple(f"front-{n}" for n in range(1, 13))


def kept_books(cluster):
    """Returns the books that are kept of the store, over all gateways."""
    return [
        poll.index
        for gateway in cluster.gateways
        for _, poll in gateway.prefix_cache.watch.kept()
    ]


def owners(cluster):
    """Returns the gateways that follow the store."""
    return [g for g in cluster.gateways if list(g.prefix_cache.watch.kept())]


class FleetTest(TestCase):
    """Many entries, one store that holds four polls at once."""

    numbers = itertools.count(1)

    def started(self, vms=VMS):
        """Returns a cluster whose entries know each other, and a store."""
        cluster = GatewayCluster(desks=0, engines=1, vms=vms)
        cluster.pass_time(1)
        store = cluster.add_store()
        store.most_polls = 4
        cluster.pass_time(3)
        return cluster, store

    def ask_each(self, cluster, gateways):
        """Sends a prompt through each gateway, two a second."""
        for gateway in gateways:
            cluster.send(
                "/draft/x", cluster.caller((gateway.settings.host, 80))
            )
            cluster.pass_time(0.5 / len(gateways))

    def ask_everywhere(self, cluster):
        """Sends the same prompt through every gateway."""
        for number in range(1, 13):
            caller = cluster.caller((f"10.0.0.{number}", 80))
            cluster.ask("/draft/x", caller=caller, seconds=0.3)

    def test_a_store_is_not_asked_more_often_than_it_answers(self):
        """The fleet grows to more entries than a store holds polls.

        Symptom: half of all polls are refused, and prompts are read again
        although a store holds them. Sequence: every entry polls every store.
        Cause: polls grew with the fleet, and a store's word ran out between
        two that were answered.
        """
        cluster, store = self.started()
        store.refused = 0
        seen = len(store.seen)
        for _ in range(50):
            cluster.pass_time(0.1)
            now = cluster.net.seconds()
            kept = [
                p.index
                for g in owners(cluster)
                for _, p in g.prefix_cache.watch.kept()
            ]
            self.assertEqual(2, len(kept))
            self.assertTrue(all(book.trusted(now) for book in kept))
        self.assertEqual(0, store.refused)
        self.assertLess(len(store.seen) - seen, 5 * 2 * 2)

    def test_starting_costs_a_store_no_call_of_each_entry(self):
        """All machines lose power and start at the same moment.

        Symptom: 68 entries ask each of 21 stores for all that it holds; that
        takes half of the processor time of their start, and stalls the
        stores. Cause: each entry kept a book of each store.
        """
        cluster, store = self.started()
        self.assertLess(len(store.seen), 30)

    def test_every_entry_fetches_what_one_has_had_saved(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        self.ask_everywhere(cluster)
        self.assertEqual(12 * 2, store.reads)
        self.assertEqual([], store.torn_reads)

    def test_a_part_that_another_entry_has_saved_is_not_saved_again(self):
        """Two callers bring the same dossier at once, to two entries.

        Symptom: it is written to the store twice. Cause: a save was known
        only where it had been asked for.
        """
        cluster, store = self.started()
        (engine,) = cluster.engines.values()
        engine.save_s = 1.0
        self.ask_everywhere(cluster)
        saves = [
            req.headers.get("x-kv-save-to", "")
            for req in cluster.seen()
            if req.target.startswith("/draft/")
        ]
        self.assertEqual(1, sum(map(bool, saves)))

    def test_who_brings_it_meanwhile_goes_where_it_is_read(self):
        """Callers bring the same dossier within a second, while load is high.

        Symptom: it is read by several engines at once. Sequence: the first
        one goes to an engine far down the prompt's ring, since those before
        are busy; they are idle again, and the next ones ask about the first
        three only. Cause: who reads a part was known at that engine's owner
        alone.
        """
        cluster = GatewayCluster(desks=0, engines=8, vms=VMS[:3])
        cluster.pass_time(1)
        cluster.add_store()
        cluster.pass_time(3)
        for engine in cluster.engines.values():
            engine.work_s = 0.4
            engine.save_s = 1.0
        for far in list(cluster.engines)[:4]:
            self.tell(cluster, far, 90_000)
            for number in range(4):
                caller = cluster.caller((f"10.0.0.{number % 3 + 1}", 80))
                parts = f"aa:500,{far}:9000,o{number}:900"
                cluster.send("/draft/x", caller, parts=parts, tokens="10400,50")
                cluster.pass_time(0.1)
                self.tell(cluster, far, 0)
            self.assertEqual(4, sum(cluster.engines[far].ran.values()), far)
            cluster.pass_time(3)

    def tell(self, cluster, free, tokens):
        """Tells of other entries' work at all engines but one."""
        for engine in cluster.engines:
            running = 9 if tokens and engine != free else 0
            share = WorkShare(engine, (tokens,), tokens, running)
            work = LoadReport("x", next(self.numbers), (share,))
            for gateway in cluster.gateways:
                gateway.owners.ledger_service.record(work)

    def test_the_homes_die(self):
        """Both entries that follow a store are killed at the same moment.

        Symptom: nothing is fetched for the nine seconds in which they are
        still registered. Cause: nobody else followed the store.
        """
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        dead = {g.settings.host for g in owners(cluster)}
        for gateway in owners(cluster):
            gateway._entries._task.cancel()
            gateway.prefix_cache.stop()
        cluster.net.loses_datagram = lambda sender, receiver: (
            receiver[0] in dead or sender[0] in dead
        )
        alive = [g for g in cluster.gateways if g.settings.host not in dead]
        for _ in range(6):
            self.ask_each(cluster, alive)
        before = store.reads
        for _ in range(4):
            self.ask_each(cluster, alive)
        cluster.pass_time(0.5)
        self.assertGreater(store.reads - before, 0.8 * 4 * 2 * len(alive))
        self.assertEqual([], store.torn_reads)

    def test_a_store_that_comes_back_empty(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        store.restart()
        cluster.pass_time(2.5)
        kept = [
            p.index.parts
            for g in owners(cluster)
            for _, p in g.prefix_cache.watch.kept()
        ]
        self.assertEqual([{}, {}], kept)


class _Book:
    """Has one owner for all stores."""

    def owner(self, store):
        """Returns the owner."""
        return ("10.0.0.9", 7000)


class _Questions:
    """Answers by a table of words."""

    def __init__(self, words):
        self.words = words
        self.asked = []

    async def ask(self, owners):
        """Returns the answer of the only owner."""
        (message,) = [make(1) for make in owners.values()]
        assert isinstance(message, PartQuery)
        self.asked.append([row.store for row in message.parts])
        states = tuple(
            PartState(row.store, row.salt, row.part.name, word, 5)
            for row in message.parts
            if (word := self.words.get(row.store))
        )
        return [PartReply(1, states)]


class ChoicesTest(TestCase):
    """Which store a part is looked for in, and kept in."""

    def asker(self, words):
        """Returns an asker over three stores, first choice first, and more."""
        stores = StoreMap()
        stores.configure(
            {
                name: StoreTraits(name, "a", 1000, 1e-6, 0.001)
                for name in ("x", "y", "z")
            }
        )
        order = stores.order(("s", "p"))
        by_name = dict(zip(order, words, strict=True))
        questions = _Questions(by_name)
        told = []
        asker = PartQueryClient(
            _Book(), stores, questions, lambda save, owner: told.append(save)
        )
        return asker, order, questions, told

    def found(self, *words):
        """Returns which choice is taken, its word, and how many were asked."""
        asker, order, questions, _ = self.asker(words)
        work = asker.ask(["s"], [Part("p", 10)])
        try:
            work.send(None)
        except StopIteration as done:
            (stored,) = done.value.values()
        place = order.index(stored.store)
        return place, stored.word, len(questions.asked)

    def test_the_next_choice_is_asked_while_one_can_do_nothing(self):
        held, room, full, closed, saving, unheard = (
            PartStatus.HELD,
            PartStatus.ROOM,
            PartStatus.FULL,
            PartStatus.CLOSED,
            PartStatus.SAVING,
            PartStatus.UNHEARD,
        )
        cases = (
            ((held, held, held), (0, held, 1)),
            ((room, held, held), (0, room, 1)),
            ((saving, room, room), (0, saving, 1)),
            ((full, held, room), (1, held, 2)),
            ((closed, room, held), (1, room, 2)),
            ((None, full, room), (2, room, 3)),
            ((unheard, full, closed), (0, unheard, 3)),
        )
        for words, expected in cases:
            self.assertEqual(expected, self.found(*words), words)

    def test_a_save_is_told_to_the_home(self):
        asker, order, _, told = self.asker((None, None, None))
        asker.save("i-1", "s", [(Part("p", 10), order[0])])
        (save,) = told
        self.assertIsInstance(save, SaveNotice)
        self.assertEqual(("i-1", order[0]), (save.reader, save.parts[0].store))
