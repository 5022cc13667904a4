"""Where parts go, and when a store's word counts."""

from testtools import TestCase

from magnolialug.policy.partplan import Miss, PartPlan, Stored, plan_of
from magnolialug.policy.storeindex import PartStatus, StoreIndex
from magnolialug.policy.storemap import StoreMap, StoreTraits

KEY = ("", "p")


def book_of(capacity):
    """Returns the book of a store that has been heard at time 0."""
    book = StoreIndex("a", capacity, clock_s=0.0)
    book.restarted(1, 0, -10.0)
    book.heard_at = 0.0
    return book


class StoreIndexTest(TestCase):
    """What a store's owner says of a part."""

    def test_words(self):
        book = book_of(1000)
        self.assertEqual(PartStatus.ROOM, book.status(KEY, 10, 0.0))
        self.assertEqual(PartStatus.FULL, book.status(KEY, 950, 0.0))
        book.saving(KEY, 10, "i-1", 0.0)
        self.assertEqual("i-1", book.reader(KEY))
        self.assertEqual(PartStatus.SAVING, book.status(KEY, 10, 0.1))
        self.assertEqual(PartStatus.FULL, book.status(("", "q"), 935, 0.1))
        book.added(KEY, 10)
        self.assertEqual("", book.reader(KEY))
        self.assertEqual(PartStatus.HELD, book.status(KEY, 10, 0.1))
        self.assertEqual(PartStatus.UNHEARD, book.status(KEY, 10, 2.0))
        self.assertEqual(PartStatus.CLOSED, book.status(("", "q"), 10, 2.0))

    def test_a_save_that_is_never_reported_is_asked_for_again(self):
        book = book_of(1000)
        book.saving(KEY, 10, "i-1", 0.0)
        book.heard_at = 4.5
        book.tick(4.5)
        self.assertEqual(PartStatus.ROOM, book.status(KEY, 10, 4.5))

    def test_after_a_restart_nothing_is_saved_while_anyone_may_believe(self):
        book = book_of(1000)
        book.added(KEY, 10)
        until = book.fetch_until_ms()
        book.restarted(2, 0, 0.1)
        now = book.heard_at = 0.1
        while book.status(KEY, 10, now) is not PartStatus.ROOM:
            now += 0.01
            book.heard_at = now
        self.assertGreater(now * 1000, until)


class StoreMapTest(TestCase):
    """The first choice for a part, alike at all entries."""

    def test_parts_are_spread_by_capacity(self):
        maps = []
        for _ in range(2):
            one = StoreMap()
            one.configure(
                {
                    name: StoreTraits(name, "a", capacity, 1e-6, 0.001)
                    for name, capacity in (("big", 4_000), ("small", 1_000))
                }
            )
            maps.append(one)
        count = {"big": 0, "small": 0}
        for number in range(3000):
            first, other = (m.order(("s", f"{number}"))[0] for m in maps)
            self.assertEqual(first, other)
            count[first] += 1
        self.assertTrue(0.75 < count["big"] / 3000 < 0.85, count)


class PartPlanTest(TestCase):
    """What becomes of a part, by the word of its store's owner."""

    def test_plans(self):
        cases = (
            # what is told, whether it may be saved, the plan
            (None, True, PartPlan(miss=Miss.UNHEARD)),
            (PartStatus.HELD, False, PartPlan(fetch="s", until_ms=7)),
            (PartStatus.ROOM, True, PartPlan(save="s", miss=Miss.NEW)),
            (PartStatus.ROOM, False, PartPlan(miss=Miss.REPLACED)),
            (PartStatus.SAVING, True, PartPlan(miss=Miss.SAVING)),
            (PartStatus.UNHEARD, True, PartPlan(miss=Miss.UNHEARD)),
            (PartStatus.FULL, True, PartPlan(miss=Miss.NO_ROOM)),
            (PartStatus.CLOSED, True, PartPlan(miss=Miss.CLOSED)),
        )
        for word, may_save, expected in cases:
            stored = {} if word is None else {KEY: Stored("s", word, 7)}
            self.assertEqual(expected, plan_of(KEY, stored, may_save), word)
