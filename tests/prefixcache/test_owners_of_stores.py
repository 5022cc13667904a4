"""Two entries index each store; all others query them."""

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


def indexes(cluster):
    """Returns the indexes of the store, over all gateways."""
    return [
        poller.index
        for gateway in cluster.gateways
        for _, poller in gateway.prefix_cache.store_pollers.indexed()
    ]


def owners(cluster):
    """Returns the gateways that index the store."""
    return [
        g
        for g in cluster.gateways
        if list(g.prefix_cache.store_pollers.indexed())
    ]


class FleetTest(TestCase):
    """Many entries, and a store that accepts four concurrent polls."""

    numbers = itertools.count(1)

    def started(self, vms=VMS):
        """Returns a cluster of connected entries, and a store."""
        cluster = GatewayCluster(desks=0, engines=1, vms=vms)
        cluster.pass_time(1)
        store = cluster.add_store()
        store.most_polls = 4
        cluster.pass_time(3)
        return cluster, store

    def ask_each(self, cluster, gateways):
        """Sends a prompt through each gateway, within half a second."""
        for gateway in gateways:
            cluster.send(
                "/draft/x", cluster.caller((gateway.settings.host, 80))
            )
            cluster.pass_time(0.5 / len(gateways))

    def ask_all(self, cluster):
        """Sends the same prompt through every gateway."""
        for number in range(1, 13):
            caller = cluster.caller((f"10.0.0.{number}", 80))
            cluster.ask("/draft/x", caller=caller, seconds=0.3)

    def test_polls_do_not_exceed_what_a_store_accepts(self):
        """There are more entries than a store accepts concurrent polls.

        Symptom: half of all polls are refused, and prompts are recomputed
        although a store holds them. Sequence: every entry polls every store.
        Cause: polls grew with the number of entries, and a store's reported
        state expired between two answered polls.
        """
        cluster, store = self.started()
        store.refused = 0
        seen = len(store.seen)
        for _ in range(50):
            cluster.pass_time(0.1)
            now = cluster.net.seconds()
            polled = [
                p.index
                for g in owners(cluster)
                for _, p in g.prefix_cache.store_pollers.indexed()
            ]
            self.assertEqual(2, len(polled))
            self.assertTrue(all(index.is_fresh(now) for index in polled))
        self.assertEqual(0, store.refused)
        self.assertLess(len(store.seen) - seen, 5 * 2 * 2)

    def test_a_store_is_not_called_by_every_starting_entry(self):
        """All machines lose power and start at the same time.

        Symptom: 68 entries list the contents of each of 21 stores; that takes
        half of the processor time of their start, and stalls the stores.
        Cause: each entry indexed each store.
        """
        cluster, store = self.started()
        self.assertLess(len(store.seen), 30)

    def test_every_entry_fetches_a_part_saved_through_one(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        self.ask_all(cluster)
        self.assertEqual(12 * 2, store.reads)
        self.assertEqual([], store.torn_reads)

    def test_a_part_is_not_saved_again_through_another_entry(self):
        """Two callers send the same prompt at once, to two entries.

        Symptom: it is written to the store twice. Cause: a save was known
        only to the entry that had requested it.
        """
        cluster, store = self.started()
        (engine,) = cluster.engines.values()
        engine.save_s = 1.0
        self.ask_all(cluster)
        saves = [
            req.headers.get("x-kv-save-to", "")
            for req in cluster.seen()
            if req.target.startswith("/draft/")
        ]
        self.assertEqual(1, sum(map(bool, saves)))

    def test_equal_prompts_go_to_the_engine_that_prefills_the_part(self):
        """Callers send the same prompt within a second, under high load.

        Symptom: several engines prefill it at once. Sequence: the first
        request goes to an engine far down the prompt's ring, because those
        before it are busy; they become idle, and the next requests query only
        the first three. Cause: only that engine's owner knew which engine
        was prefilling the part.
        """
        cluster = GatewayCluster(desks=0, engines=8, vms=VMS[:3])
        cluster.pass_time(1)
        cluster.add_store()
        cluster.pass_time(3)
        for engine in cluster.engines.values():
            engine.work_s = 0.4
            engine.save_s = 1.0
        for far in list(cluster.engines)[:4]:
            self.report_load(cluster, far, 90_000)
            for number in range(4):
                caller = cluster.caller((f"10.0.0.{number % 3 + 1}", 80))
                parts = f"aa:500,{far}:9000,o{number}:900"
                cluster.send("/draft/x", caller, parts=parts, tokens="10400,50")
                cluster.pass_time(0.1)
                self.report_load(cluster, far, 0)
            self.assertEqual(4, sum(cluster.engines[far].ran.values()), far)
            cluster.pass_time(3)

    def report_load(self, cluster, free, tokens):
        """Reports other entries' work at all engines but one."""
        for engine in cluster.engines:
            running = 9 if tokens and engine != free else 0
            share = WorkShare(engine, (tokens,), tokens, running)
            work = LoadReport("x", next(self.numbers), (share,))
            for gateway in cluster.gateways:
                gateway.owners.ledger_service.record(work)

    def test_both_owners_of_a_store_die(self):
        """Both entries that index a store are killed at the same time.

        Symptom: nothing is fetched for the nine seconds in which they are
        still registered. Cause: no other entry indexed the store.
        """
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        dead = {g.settings.host for g in owners(cluster)}
        for gateway in owners(cluster):
            gateway._entries.task.stop()
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

    def test_a_restarted_store_is_indexed_as_empty(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        store.restart()
        cluster.pass_time(2.5)
        polled = [
            p.index.parts
            for g in owners(cluster)
            for _, p in g.prefix_cache.store_pollers.indexed()
        ]
        self.assertEqual([{}, {}], polled)


class _Owners:
    """A ring with one owner for all stores."""

    def owner(self, store):
        """Returns the owner."""
        return ("10.0.0.9", 7000)


class _PendingQueries:
    """Answers queries from a table of statuses."""

    def __init__(self, statuses):
        self.statuses = statuses
        self.asked = []

    async def ask(self, owners):
        """Returns the reply of the only owner."""
        (message,) = [make(1) for make in owners.values()]
        assert isinstance(message, PartQuery)
        self.asked.append([row.store for row in message.parts])
        states = tuple(
            PartState(row.store, row.cache_namespace, row.part.name, status, 5)
            for row in message.parts
            if (status := self.statuses.get(row.store))
        )
        return [PartReply(1, states)]


class PartQueryClientTest(TestCase):
    """Which store a part is fetched from or saved to."""

    def client(self, statuses):
        """Returns a client for three stores, their ranking and its doubles."""
        stores = StoreMap()
        stores.configure(
            {
                name: StoreTraits(name, "a", 1000, 1e-6, 0.001)
                for name in ("x", "y", "z")
            }
        )
        ranking = stores.ranking(("s", "p"))
        by_name = dict(zip(ranking, statuses, strict=True))
        pending_queries = _PendingQueries(by_name)
        sent = []
        client = PartQueryClient(
            _Owners(),
            stores,
            pending_queries,
            lambda save, owner: sent.append(save),
            lambda: 0.0,
        )
        return client, ranking, pending_queries, sent

    def found(self, *statuses):
        """Returns the chosen store's rank and status, and the query count."""
        client, ranking, pending_queries, _ = self.client(statuses)
        work = client.ask(["s"], [Part("p", 10)])
        try:
            work.send(None)
        except StopIteration as done:
            (stored,) = done.value.values()
        choice = ranking.index(stored.store)
        return choice, stored.status, len(pending_queries.asked)

    def test_the_next_store_is_queried_until_one_is_usable(self):
        held, room, full, closed, saving, unheard = (
            PartStatus.HELD,
            PartStatus.ROOM,
            PartStatus.FULL,
            PartStatus.NOT_WRITABLE,
            PartStatus.SAVING,
            PartStatus.NO_CONTACT,
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
        for statuses, expected in cases:
            self.assertEqual(expected, self.found(*statuses), statuses)

    def test_a_save_is_reported_to_the_owner(self):
        client, ranking, _, sent = self.client((None, None, None))
        client.save("i-1", "s", [(Part("p", 10), ranking[0])])
        (save,) = sent
        self.assertIsInstance(save, SaveNotice)
        self.assertEqual(
            ("i-1", ranking[0]), (save.reader, save.parts[0].store)
        )
