"""Shared parts of prompts are kept in stores and read back whole."""

from random import Random

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster


def headers(cluster, name):
    """Returns a header of all prompts that arrived, "" where it is absent."""
    return [
        req.headers.get(name, "")
        for req in cluster.seen()
        if req.target.startswith("/draft/")
    ]


class CachePartsTest(TestCase):
    """One store, one or two entries."""

    def started(self, vms=("front-1",), **options):
        """Returns a cluster with a store that has been heard."""
        cluster = GatewayCluster(desks=0, engines=1, vms=vms)
        return cluster, cluster.add_store(**options)

    def test_a_part_is_saved_once_and_fetched_from_then_on(self):
        cluster, store = self.started()
        for _ in range(3):
            cluster.ask("/draft/x", seconds=1)
        self.assertEqual(
            ["10.2.0.2:8746,10.2.0.2:8746,-", "", ""],
            headers(cluster, "x-kv-save-to"),
        )
        fetched = headers(cluster, "x-kv-fetch-from")
        self.assertEqual("", fetched[0])
        self.assertEqual(["10.2.0.2:8746,10.2.0.2:8746,-"] * 2, fetched[1:])
        self.assertEqual([], store.torn_reads)

    def test_the_requests_own_part_is_never_saved(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", parts="aa:500,own1:900")
        self.assertEqual({("/m/1", "aa")}, set(store.parts))

    def test_teams_that_are_isolated_and_versions_have_their_own(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", key="key-b")
        cluster.ask("/draft/x", key="key-a")
        salts = {salt for salt, _ in store.parts}
        self.assertEqual({"team-b/m/1", "/m/1"}, salts)
        self.assertEqual(0, store.reads)

    def test_a_part_that_is_being_written_is_not_read(self):
        cluster, store = self.started()
        (engine,) = cluster.engines.values()
        engine.save_s = 2.0
        for _ in range(5):
            cluster.ask("/draft/x", seconds=0.3)
        self.assertEqual(0, store.reads)
        cluster.pass_time(2)
        cluster.ask("/draft/x", seconds=0.3)
        self.assertEqual(2, store.reads)
        self.assertEqual([], store.torn_reads)

    def test_a_store_that_comes_back_empty_is_never_read_half_written(self):
        """A store dies and returns; one entry still believes its old word.

        Symptom: a request reads a part that is being written. Sequence: two
        entries know a part, the store restarts empty, one entry has it saved
        again, the other still has it fetched. Cause: a store's word counted
        for ever.
        """
        for seed in range(20):
            random = Random(seed)
            cluster, store = self.started(vms=("front-1", "front-2"))
            (engine,) = cluster.engines.values()
            engine.save_s = random.uniform(0.05, 1.5)
            cluster.ask("/draft/x", seconds=2)
            for _ in range(3):
                store.mute = True
                cluster.pass_time(random.uniform(0.0, 2.0))
                store.restart()
                store.mute = random.random() < 0.3
                for _ in range(25):
                    address = (f"10.0.0.{random.randint(1, 2)}", 80)
                    cluster.send("/draft/x", cluster.caller(address))
                    cluster.pass_time(random.uniform(0.02, 0.4))
                    store.mute = False
            self.assertEqual([], store.torn_reads, seed)

    def test_a_late_fetch_is_thrown_away(self):
        """A request waits in an engine's queue while the store restarts.

        Symptom: as above, from the queue. The bound on the fetch, on the
        servers' clock, ends before anything can be written again.
        """
        cluster, _ = self.started()
        cluster.ask("/draft/x", seconds=1)
        cluster.ask("/draft/x", seconds=0.2)
        until_ms = int(headers(cluster, "x-kv-until")[-1])
        now_ms = cluster.net.seconds() * 1000 + 5000
        self.assertTrue(now_ms < until_ms + 200 < now_ms + 2200)

    def test_parts_of_replaced_weights_are_read_but_no_new_ones_believed(self):
        """Weights are being replaced while prompts return.

        Symptom: every prompt is read again on the engines that still have
        the old weights, and their queues grow. Cause: parts of the old
        version were not fetched any more, though those that were whole
        before the change had been made by the old version alone.
        """
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=1)
        cluster.gateway.routes.weights["m"] = 2
        store.parts[("/m/1", "late")] = store.parts[("/m/1", "aa")]
        store.finish(("/m/1", "late"), store.epoch)
        cluster.pass_time(1)
        cluster.ask("/draft/x", seconds=0.3)
        self.assertTrue(headers(cluster, "x-kv-fetch-from")[-1])
        index = cluster.gateway.prefix_cache.watch.polls["cache"].index
        self.assertNotIn(("/m/1", "late"), index.parts)

    def test_lost_events_cost_a_fetch_and_nothing_more(self):
        cluster, store = self.started()
        store.lose_events = 2
        for _ in range(8):
            self.assertEqual(200, cluster.ask("/draft/x").last.status)
        self.assertEqual([], store.torn_reads)

    def test_a_full_store_is_asked_to_keep_no_more(self):
        cluster, store = self.started(capacity=6000)
        for number in range(8):
            cluster.ask("/draft/x", parts=f"p{number}:2000,o{number}:900")
        self.assertEqual(2, len(store.parts))
        self.assertEqual(2, sum(map(bool, headers(cluster, "x-kv-save-to"))))

    def test_a_silent_store_is_not_read(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=1)
        store.mute = True
        cluster.pass_time(2.5)
        self.assertEqual(200, cluster.ask("/draft/x").last.status)
        self.assertEqual("", headers(cluster, "x-kv-fetch-from")[-1])

    def test_nothing_is_saved_under_weights_that_are_being_replaced(self):
        """Weights change under a run that is being saved.

        Symptom: a request uses cache that was made under other weights.
        Sequence: a run begins under version 1, its engine takes version 2
        while the prompt is read, the part is saved under the salt of version
        1, and an engine that still has version 1 fetches it. Cause: parts
        were saved after a newer version had been named.
        """
        cluster, store = self.started()
        cluster.gateway.routes.weights["m"] = 2
        cluster.ask("/draft/x", seconds=0.3)
        self.assertEqual("", headers(cluster, "x-kv-save-to")[-1])
        self.assertEqual({}, store.parts)

    def test_an_idle_stores_word_keeps_counting(self):
        """A store has nothing to tell for a while.

        Symptom: parts are read again though a store has them. Sequence: a
        poll waits for news that do not come; just before its answer the last
        word is older than it may be. Cause: the waits were too long.
        """
        cluster, _ = self.started()
        cluster.ask("/draft/x", seconds=1)
        for _ in range(200):
            cluster.pass_time(0.02)
            now = cluster.net.seconds()
            (poll,) = cluster.gateway.prefix_cache.watch.polls.values()
            self.assertTrue(poll.index.trusted(now))

    def test_a_fresh_entry_reads_what_a_store_holds(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=1)
        cluster.start("front-2", 2)
        cluster.pass_time(2)
        cluster.send("/draft/x", cluster.caller(("10.0.0.2", 80)))
        cluster.pass_time(1)
        self.assertEqual(2, store.reads)
