"""Weights that the operator names, and who orders engines to take them."""

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.entry.rolloutlease import LEADER_KEY
from tests.gatewaycluster import GatewayCluster


def name_weights(cluster, version):
    """Writes what the operator wants."""
    cluster.write("op/version/m", {"model": "m", "version": version})


def holder_of(cluster):
    """Returns the gateway that holds the lease, None if none does."""
    held = [g for g in cluster.gateways if g._lease.fence]
    return held[0] if held else None


def orders(cluster):
    """Returns every order that reached an engine."""
    return [o for engine in cluster.engines.values() for o in engine.orders]


VMS = ("front-1", "front-2", "front-3")


def watch_orders(cluster):
    """Returns a list that grows by (time, engine, holder) of each order."""
    log = []
    for engine in cluster.engines.values():
        engine.orders = _OrderLog(cluster.net, engine.instance, log)
    return log


class _OrderLog(list):
    """An engine's orders, each noted with its time."""

    def __init__(self, clock, engine, log):
        super().__init__()
        self._note = lambda order: log.append(
            (clock.seconds(), engine, order["holder"])
        )

    def append(self, order):
        """Takes an order."""
        super().append(order)
        self._note(order)


def turns_within(log, bound_s):
    """Returns orders to an engine that follow another holder's too soon."""
    last = {}
    found = []
    for at, engine, holder in log:
        before = last.get(engine)
        if before and before[1] != holder and at - before[0] < bound_s:
            found.append((engine, before, (at, holder)))
        last[engine] = (at, holder)
    return found


class RolloutTest(TestCase):
    """Engines take the weights that were named."""

    def started(self, engines=4, vms=("front-1", "front-2")):
        """Returns a cluster whose lease has been won and may be used."""
        cluster = GatewayCluster(desks=0, engines=engines, vms=vms)
        cluster.pass_time(4)
        return cluster

    def test_every_engine_takes_them_two_at_a_time(self):
        cluster = self.started()
        name_weights(cluster, 2)
        most = 0
        for _ in range(100):
            cluster.pass_time(0.05)
            busy = sum(e.busy for e in cluster.engines.values())
            most = max(most, busy)
        versions = [e.version for e in cluster.engines.values()]
        self.assertEqual([2] * 4, versions)
        self.assertEqual(2, most)
        self.assertEqual(1, len({o["holder"] for o in orders(cluster)}))

    def test_a_loading_engine_gets_no_requests(self):
        cluster = self.started()
        name_weights(cluster, 2)
        turned_away = 0
        for _ in range(60):
            for number in range(2):
                address = (f"10.0.0.{number + 1}", 80)
                cluster.send("/draft/x", cluster.caller(address))
            before = {n: len(e.seen) for n, e in cluster.engines.items()}
            busy = {n for n, e in cluster.engines.items() if e.busy}
            cluster.pass_time(0.05)
            for name, engine in cluster.engines.items():
                new = engine.seen[before[name] :]
                prompts = [r for r in new if r.target == "/draft/x"]
                turned_away += len(prompts) if name in busy else 0
        self.assertLessEqual(turned_away, 2)

    def test_two_versions_in_quick_succession(self):
        cluster = self.started()
        name_weights(cluster, 2)
        cluster.pass_time(1)
        name_weights(cluster, 3)
        cluster.pass_time(8)
        versions = [e.version for e in cluster.engines.values()]
        self.assertEqual([3] * 4, versions)

    def test_an_engine_that_loads_is_not_opened_by_the_next_version(self):
        """A second version is named while engines load the first.

        Symptom: several hundred prompts a second are turned away by engines
        that load. Sequence: two engines load version 2, version 3 is named;
        the announcement for it leaves out the two, whom everybody then takes
        to be open. Cause: only engines announced for the same version were
        taken to be closed.
        """
        cluster = self.started(engines=6)
        name_weights(cluster, 2)
        while not any(e.busy for e in cluster.engines.values()):
            cluster.pass_time(0.01)
        cluster.pass_time(0.2)
        name_weights(cluster, 3)
        turned_away = 0
        for _ in range(140):
            busy = [n for n, e in cluster.engines.items() if e.busy]
            for gateway in cluster.gateways:
                peers = gateway.directory.peers
                now = cluster.net.seconds()
                turned_away += sum(peers[name].sound(now) for name in busy)
            cluster.pass_time(0.05)
        self.assertEqual(0, turned_away)
        versions = [e.version for e in cluster.engines.values()]
        self.assertEqual([3] * 6, versions)

    def test_an_engine_that_joins_with_old_weights_takes_the_new_ones(self):
        cluster = self.started()
        name_weights(cluster, 2)
        cluster.pass_time(6)
        late = cluster.add_engine()
        cluster.pass_time(3)
        self.assertEqual(2, late.version)

    def test_an_order_carried_out_late_undoes_nothing(self):
        """An engine leaves an order unanswered and carries it out late.

        Symptom: an engine goes back to older weights. Sequence: the order
        for version 2 has no answer, version 3 is named and taken, then the
        old order is carried out. Cause: orders did not say what they expect
        the engine to have accepted before.
        """
        cluster = self.started(engines=1)
        (engine,) = cluster.engines.values()
        engine.late_orders = [5.0]
        name_weights(cluster, 2)
        cluster.pass_time(1)
        name_weights(cluster, 3)
        cluster.pass_time(8)
        self.assertEqual(3, engine.version)

    def test_a_dead_engine_does_not_hold_up_the_rest(self):
        cluster = self.started()
        dead = sorted(cluster.engines)[:2]
        for name in dead:
            del cluster.net.servers[cluster.engines[name].address]
        name_weights(cluster, 2)
        cluster.pass_time(10)
        alive = [e for n, e in cluster.engines.items() if n not in dead]
        self.assertEqual([2, 2], [e.version for e in alive])

    def test_nothing_is_ordered_while_nothing_is_named(self):
        cluster = self.started()
        cluster.pass_time(5)
        self.assertEqual([], orders(cluster))


class LeaseTest(TestCase):
    """One holder at a time, with a fencing token."""

    def test_a_frozen_holder_orders_nothing_when_it_wakes(self):
        """The holder stands still; another takes over; it wakes.

        Symptom: two machines give orders in turn. Sequence: the lease runs
        out while its holder is suspended, another wins it, the first one
        wakes and still believes. Cause: the lease was not checked on a clock
        that counts suspension.
        """
        cluster = GatewayCluster(desks=0, engines=4, vms=("front-1", "front-2"))
        cluster.pass_time(4)
        first = holder_of(cluster)
        self.freeze(cluster, first)
        name_weights(cluster, 2)
        cluster.pass_time(3)
        second = holder_of_others(cluster, first)
        self.assertIsNotNone(second)
        first._lease._clock = cluster.net
        first._rollout_commands.tick()
        cluster.pass_time(6)
        holders = [o["holder"] for o in orders(cluster)]
        self.assertEqual({second._lease.name}, set(holders))

    def freeze(self, cluster, gateway):
        """Stops a gateway's renewals, as a suspension does."""
        gateway._lease._task.cancel()
        gateway._tick.cancel()

    def test_fences_grow_from_holder_to_holder(self):
        cluster = GatewayCluster(desks=0, engines=2, vms=("front-1", "front-2"))
        cluster.pass_time(4)
        first = holder_of(cluster)
        before = first._lease.fence
        ensureDeferred(first.stop())
        cluster.pass_time(5)
        second = holder_of_others(cluster, first)
        self.assertGreater(second._lease.fence, before)

    def test_orders_of_two_holders_to_one_engine_lie_apart(self):
        """The holder dies in the middle of a rollout.

        Symptom: orders of two machines reach an engine within the bound.
        Sequence: the holder orders, is cut off and dies; another wins the
        lease at once. Cause: it began without a look at what had been
        ordered.
        """
        cluster = GatewayCluster(desks=0, engines=6, vms=VMS)
        cluster.pass_time(6)
        log = watch_orders(cluster)
        name_weights(cluster, 2)
        while not log:
            cluster.pass_time(0.02)
        self.freeze(cluster, holder_of(cluster))
        cluster.pass_time(1)
        name_weights(cluster, 3)
        cluster.pass_time(12)
        self.assertEqual({3}, {e.version for e in cluster.engines.values()})
        self.assertEqual([], turns_within(log, 3.0))

    def test_engines_that_nobody_ordered_do_not_wait_for_the_bound(self):
        """The holder stands still after its first round of a rollout.

        Symptom: engines have old weights 16 s after new ones were named.
        Sequence: the holder orders two of six engines and is suspended; the
        next one waits for the bound, and is told to stop meanwhile; so does
        the one after it. Cause: the bound was kept for all engines, though
        it holds for each.
        """
        cluster = GatewayCluster(desks=0, engines=6, vms=VMS)
        cluster.pass_time(6)
        log = watch_orders(cluster)
        name_weights(cluster, 2)
        while not log:
            cluster.pass_time(0.02)
        begun = cluster.net.seconds()
        first = holder_of(cluster)
        self.freeze(cluster, first)
        while len({holder for _, _, holder in log}) < 2:
            cluster.pass_time(0.02)
        self.assertLess(cluster.net.seconds() - begun, 2.6)
        self.assertEqual([], turns_within(log, 3.0))

    def test_a_planned_stop_hands_the_rollout_over_at_once(self):
        cluster = GatewayCluster(desks=0, engines=6, vms=VMS)
        cluster.pass_time(6)
        log = watch_orders(cluster)
        name_weights(cluster, 2)
        while not log:
            cluster.pass_time(0.02)
        begun = cluster.net.seconds()
        ensureDeferred(holder_of(cluster).stop())
        while len({holder for _, _, holder in log}) < 2:
            cluster.pass_time(0.02)
        self.assertLess(cluster.net.seconds() - begun, 0.8)
        cluster.pass_time(8)
        self.assertEqual({2}, {e.version for e in cluster.engines.values()})
        self.assertEqual([], turns_within(log, 3.0))

    def test_holders_that_end_one_after_the_other(self):
        """Machines are stopped in turn while weights are taken.

        Symptom: orders of two machines reach an engine within the bound,
        with a third holder between them that has ordered nothing. Cause: it
        did not pass on what it had to leave alone itself.
        """
        cluster = GatewayCluster(desks=0, engines=2, vms=VMS)
        cluster.pass_time(6)
        log = watch_orders(cluster)
        name_weights(cluster, 2)
        while not log:
            cluster.pass_time(0.02)
        for version in (3, 4):
            ensureDeferred(holder_of(cluster).stop())
            cluster.pass_time(0.6)
            name_weights(cluster, version)
            cluster.pass_time(0.2)
        cluster.pass_time(10)
        self.assertEqual({4}, {e.version for e in cluster.engines.values()})
        self.assertEqual([], turns_within(log, 3.0))

    def test_engines_with_the_oldest_weights_go_first(self):
        cluster = GatewayCluster(desks=0, engines=6, vms=("front-1",))
        cluster.pass_time(6)
        log = watch_orders(cluster)
        name_weights(cluster, 2)
        while len(log) < 2:
            cluster.pass_time(0.02)
        ordered = {engine for _, engine, _ in log}
        cluster.pass_time(0.5)
        name_weights(cluster, 3)
        while len(log) < 4:
            cluster.pass_time(0.02)
        self.assertEqual(set(), ordered & {e for _, e, _ in log[2:4]})

    def test_who_follows_one_that_was_not_begins_at_once(self):
        cluster = GatewayCluster(desks=0, engines=4, vms=("front-1", "front-2"))
        cluster.pass_time(5)
        self.freeze(cluster, holder_of(cluster))
        begun = cluster.net.seconds()
        name_weights(cluster, 2)
        while not orders(cluster):
            cluster.pass_time(0.02)
        self.assertLess(cluster.net.seconds() - begun, 3.0)

    def test_a_lost_answer_to_the_first_write_is_read_back(self):
        cluster = GatewayCluster(desks=0, engines=2)
        self.assertNotIn(LEADER_KEY, cluster.kv._rows)
        cluster.kv.faults.lose_answers = 1
        cluster.pass_time(4)
        lease = cluster.kv._rows[LEADER_KEY]
        self.assertIn(b"front-1", lease.value)
        name_weights(cluster, 2)
        cluster.kv.faults.lose_answers = 1
        cluster.pass_time(5)
        versions = [e.version for e in cluster.engines.values()]
        self.assertEqual([2, 2], versions)

    def test_during_an_outage_no_orders_are_given(self):
        cluster = GatewayCluster(desks=0, engines=2)
        cluster.pass_time(4)
        cluster.kv.faults.down = True
        cluster.pass_time(2)
        cluster.gateway.routes.weights["m"] = 2
        cluster.pass_time(3)
        self.assertEqual([], orders(cluster))
        cluster.kv.faults.down = False
        cluster.pass_time(10)
        versions = [e.version for e in cluster.engines.values()]
        self.assertEqual([2, 2], versions)

    def test_a_holder_whose_key_was_overwritten_orders_nothing(self):
        cluster = GatewayCluster(desks=0, engines=1)
        cluster.pass_time(4)
        revision = cluster.kv._rows[LEADER_KEY].revision
        ensureDeferred(cluster.kv.put_if(LEADER_KEY, b"\xff", revision))
        name_weights(cluster, 2)
        cluster.pass_time(5)
        self.assertEqual([], orders(cluster))
        cluster.remove(LEADER_KEY)
        cluster.pass_time(8)
        self.assertEqual(1, len(orders(cluster)))

    def test_what_is_written_can_be_read_by_the_next(self):
        cluster = GatewayCluster(desks=0, engines=1)
        cluster.pass_time(4)
        row = msgspec.json.decode(cluster.kv._rows[LEADER_KEY].value)
        self.assertEqual("front-1", row["vm"])

    def test_releases_that_run_side_by_side_read_each_other(self):
        """Guards against a renamed field in the store."""
        cluster = GatewayCluster(desks=0, engines=1)
        cluster.pass_time(4)
        row = msgspec.json.decode(cluster.kv._rows[LEADER_KEY].value)
        self.assertEqual({"vm", "start", "rollout", "wary"}, set(row))


def holder_of_others(cluster, first):
    """Returns the holder among the other gateways."""
    held = [g for g in cluster.gateways if g is not first and g._lease.fence]
    return held[0] if held else None
