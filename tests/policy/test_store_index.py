"""Which store a part maps to, and how long a store's state is valid."""

from testtools import TestCase

from magnolialug.policy.partplan import (
    MissReason,
    PartPlan,
    PartReport,
    plan_part,
)
from magnolialug.policy.storeindex import PartStatus, StoreIndex
from magnolialug.policy.storemap import StoreMap, StoreTraits

KEY = ("", "p")


def new_index(capacity):
    """Returns the index of a store with its last contact at time 0."""
    index = StoreIndex("a", capacity, clock_offset_s=0.0)
    index.reset(1, 0, -10.0)
    index.last_contact_at = 0.0
    return index


class StoreIndexTest(TestCase):
    """The status that a store's owner reports for a part."""

    def test_status_follows_saves_and_contact(self):
        index = new_index(1000)
        self.assertEqual(PartStatus.ROOM, index.status(KEY, 10, 0.0))
        self.assertEqual(PartStatus.FULL, index.status(KEY, 950, 0.0))
        index.add_save(KEY, 10, "i-1", 0.0)
        self.assertEqual("i-1", index.reader(KEY))
        self.assertEqual(PartStatus.SAVING, index.status(KEY, 10, 0.1))
        self.assertEqual(PartStatus.FULL, index.status(("", "q"), 935, 0.1))
        index.add_part(KEY, 10)
        self.assertEqual("", index.reader(KEY))
        self.assertEqual(PartStatus.HELD, index.status(KEY, 10, 0.1))
        self.assertEqual(PartStatus.NO_CONTACT, index.status(KEY, 10, 2.0))
        self.assertEqual(
            PartStatus.NOT_WRITABLE, index.status(("", "q"), 10, 2.0)
        )

    def test_a_save_that_is_never_reported_times_out(self):
        index = new_index(1000)
        index.add_save(KEY, 10, "i-1", 0.0)
        index.last_contact_at = 4.5
        index.tick(4.5)
        self.assertEqual(PartStatus.ROOM, index.status(KEY, 10, 4.5))

    def test_a_restart_delays_saves_until_earlier_fetches_have_ended(self):
        index = new_index(1000)
        index.add_part(KEY, 10)
        until = index.fetch_until_ms()
        index.reset(2, 0, 0.1)
        now = index.last_contact_at = 0.1
        while index.status(KEY, 10, now) is not PartStatus.ROOM:
            now += 0.01
            index.last_contact_at = now
        self.assertGreater(now * 1000, until)


class StoreMapTest(TestCase):
    """The preferred store of a part is the same on all entries."""

    def test_parts_are_distributed_by_capacity(self):
        store_maps = []
        for _ in range(2):
            store_map = StoreMap()
            store_map.configure(
                {
                    name: StoreTraits(name, "a", capacity, 1e-6, 0.001)
                    for name, capacity in (("big", 4_000), ("small", 1_000))
                }
            )
            store_maps.append(store_map)
        count = {"big": 0, "small": 0}
        for number in range(3000):
            first, second = (
                m.ranking(("s", f"{number}"))[0] for m in store_maps
            )
            self.assertEqual(first, second)
            count[first] += 1
        self.assertTrue(0.75 < count["big"] / 3000 < 0.85, count)


class PartPlanTest(TestCase):
    """What is done with a part, by the status from its store's owner."""

    def test_plan_by_status(self):
        cases = (
            # reported status, whether it may be saved, the plan
            (None, True, PartPlan(miss=MissReason.NO_CONTACT)),
            (PartStatus.HELD, False, PartPlan(fetch="s", until_ms=7)),
            (PartStatus.ROOM, True, PartPlan(save="s", miss=MissReason.NEW)),
            (PartStatus.ROOM, False, PartPlan(miss=MissReason.REPLACED)),
            (PartStatus.SAVING, True, PartPlan(miss=MissReason.SAVING)),
            (PartStatus.NO_CONTACT, True, PartPlan(miss=MissReason.NO_CONTACT)),
            (PartStatus.FULL, True, PartPlan(miss=MissReason.NO_ROOM)),
            (
                PartStatus.NOT_WRITABLE,
                True,
                PartPlan(miss=MissReason.NOT_WRITABLE),
            ),
        )
        for status, may_save, expected in cases:
            stored = {} if status is None else {KEY: PartReport("s", status, 7)}
            self.assertEqual(expected, plan_part(KEY, stored, may_save), status)
