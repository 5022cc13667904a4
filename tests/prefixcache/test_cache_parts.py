"""Shared prompt parts are saved to stores and fetched completely."""

from random import Random

from testtools import TestCase

from magnolialug.policy.storeindex import StoreIndex
from tests.gatewaycluster import GatewayCluster


def headers(cluster, name):
    """Returns a header of all received prompts, "" where it is absent."""
    return [
        req.headers.get(name, "")
        for req in cluster.seen()
        if req.target.startswith("/draft/")
    ]


class CachePartsTest(TestCase):
    """One store and one or two entries."""

    def started(self, vms=("front-1",), **options):
        """Returns a cluster with a store that it polls, and the store."""
        cluster = GatewayCluster(desks=0, engines=1, vms=vms)
        return cluster, cluster.add_store(**options)

    def test_a_part_is_saved_once_and_then_fetched(self):
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

    def test_the_unshared_part_of_a_request_is_never_saved(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", parts="aa:500,own1:900")
        self.assertEqual({("/m/1", "aa")}, set(store.parts))

    def test_isolated_teams_and_versions_have_separate_namespaces(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", key="key-b")
        cluster.ask("/draft/x", key="key-a")
        namespaces = {namespace for namespace, _ in store.parts}
        self.assertEqual({"team-b/m/1", "/m/1"}, namespaces)
        self.assertEqual(0, store.reads)

    def test_a_part_that_is_being_written_is_not_fetched(self):
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

    def test_no_partial_reads_after_a_store_restarts_empty(self):
        """A store restarts while one entry still uses its earlier state.

        Symptom: a request fetches a part that is being written. Sequence: two
        entries have a part in their index, the store restarts empty, a
        request of one entry saves the part again, one of the other still
        fetches it. Cause: a store's reported state never expired.
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

    def test_a_fetch_has_a_deadline(self):
        """A request waits in an engine's queue while the store restarts.

        Symptom: once admitted, it fetches a part that is being written. The
        deadline of the fetch, on the servers' clock, is before the first time
        at which anything can be written again.
        """
        cluster, _ = self.started()
        cluster.ask("/draft/x", seconds=1)
        cluster.ask("/draft/x", seconds=0.2)
        until_ms = int(headers(cluster, "x-kv-until")[-1])
        now_ms = cluster.net.seconds() * 1000 + 5000
        self.assertTrue(now_ms < until_ms + 200 < now_ms + 2200)

    def test_a_fetch_is_given_up_while_the_prompt_can_be_in_time(self):
        """Guards against prompts that wait for a slow link until they are late.

        The target of the route is 0.8 s, and reading the prompt takes 0.02 s.
        """
        cluster, _ = self.started()
        cluster.ask("/draft/x", seconds=1)
        sent_ms = cluster.net.seconds() * 1000
        cluster.ask("/draft/x", seconds=0.2)
        until_ms = int(headers(cluster, "x-kv-until")[-1])
        allowed_ms = until_ms - 5000 - sent_ms
        self.assertTrue(0 < allowed_ms < 640, allowed_ms)

    def test_an_owner_of_the_last_release_bounds_a_fetch_as_before(self):
        """Guards against a deadline on a clock that no reply has told."""
        cluster, _ = self.started()
        (poller,) = cluster.gateway.prefix_cache.store_pollers.pollers.values()
        self.patch(StoreIndex, "clock_ms", lambda index, now: 0)
        cluster.ask("/draft/x", seconds=1)
        bound_ms = poller.index.fetch_until_ms()
        cluster.ask("/draft/x", seconds=0.2)
        until_ms = int(headers(cluster, "x-kv-until")[-1])
        self.assertTrue(bound_ms <= until_ms <= bound_ms + 1300)

    def test_only_earlier_parts_of_replaced_weights_are_fetched(self):
        """Weights are being replaced while prompts return.

        Symptom: engines that still serve the old weights recompute every
        prompt, and their queues grow. Cause: parts of the old version were
        not fetched any more, although those that were complete before the
        change can only have been computed by the old version.
        """
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=1)
        cluster.gateway.routes.weights["m"] = 2
        store.parts[("/m/1", "late")] = store.parts[("/m/1", "aa")]
        store.finish(("/m/1", "late"), store.epoch)
        cluster.pass_time(1)
        cluster.ask("/draft/x", seconds=0.3)
        self.assertTrue(headers(cluster, "x-kv-fetch-from")[-1])
        index = cluster.gateway.prefix_cache.store_pollers.pollers[
            "cache"
        ].index
        self.assertNotIn(("/m/1", "late"), index.parts)

    def test_lost_events_cause_no_failure_and_no_partial_read(self):
        cluster, store = self.started()
        store.lose_events = 2
        for _ in range(8):
            self.assertEqual(200, cluster.ask("/draft/x").last.status)
        self.assertEqual([], store.torn_reads)

    def test_nothing_more_is_saved_to_a_full_store(self):
        cluster, store = self.started(capacity=6000)
        for number in range(8):
            cluster.ask("/draft/x", parts=f"p{number}:2000,o{number}:900")
        self.assertEqual(2, len(store.parts))
        self.assertEqual(2, sum(map(bool, headers(cluster, "x-kv-save-to"))))

    def test_nothing_is_fetched_from_an_unresponsive_store(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=1)
        store.mute = True
        cluster.pass_time(2.5)
        self.assertEqual(200, cluster.ask("/draft/x").last.status)
        self.assertEqual("", headers(cluster, "x-kv-fetch-from")[-1])

    def test_nothing_is_saved_under_weights_that_are_being_replaced(self):
        """Weights change during a run whose parts are saved.

        Symptom: a request uses cache that was computed with other weights.
        Sequence: a run starts on version 1, its engine loads version 2
        during prefill, the part is saved under the namespace of version 1,
        and an engine that still serves version 1 fetches it. Cause: parts
        were saved after a newer version had been configured.
        """
        cluster, store = self.started()
        cluster.gateway.routes.weights["m"] = 2
        cluster.ask("/draft/x", seconds=0.3)
        self.assertEqual("", headers(cluster, "x-kv-save-to")[-1])
        self.assertEqual({}, store.parts)

    def test_the_state_of_an_idle_store_stays_fresh(self):
        """A store has no events to report for a while.

        Symptom: parts are recomputed although a store holds them. Sequence: a
        poll waits and no event occurs; just before its reply, the last
        contact is longer ago than allowed. Cause: the waits were too long.
        """
        cluster, _ = self.started()
        cluster.ask("/draft/x", seconds=1)
        for _ in range(200):
            cluster.pass_time(0.02)
            now = cluster.net.seconds()
            (poller,) = (
                cluster.gateway.prefix_cache.store_pollers.pollers.values()
            )
            self.assertTrue(poller.index.is_fresh(now))

    def test_a_new_entry_fetches_what_a_store_holds(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=1)
        cluster.start("front-2", 2)
        cluster.pass_time(2)
        cluster.send("/draft/x", cluster.caller(("10.0.0.2", 80)))
        cluster.pass_time(1)
        self.assertEqual(2, store.reads)
