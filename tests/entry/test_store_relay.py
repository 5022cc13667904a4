"""Two entries poll a store for all others."""

from testtools import TestCase

from magnolialug.policy.cachenews import CacheNews, keeps
from tests.gatewaycluster import GatewayCluster

VMS = tuple(f"front-{n}" for n in range(1, 13))


def books(cluster):
    """Returns what each gateway believes of the store."""
    return [g._cache.books["cache"] for g in cluster.gateways]


def keepers(cluster):
    """Returns the gateways that poll for the others."""
    return [g for g in cluster.gateways if g._entries.keeps("cache")]


class RelayTest(TestCase):
    """Many entries, one store that holds four polls at once."""

    def started(self, vms=VMS):
        """Returns a cluster whose entries know each other, and a store."""
        cluster = GatewayCluster(desks=0, engines=1, vms=vms)
        cluster.pass_time(1)
        store = cluster.add_store()
        store.most_polls = 4
        cluster.pass_time(3)
        return cluster, store

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
            self.assertTrue(all(book.trusted(now) for book in books(cluster)))
        self.assertEqual(0, store.refused)
        self.assertLess(len(store.seen) - seen, 5 * 2 * 2)

    def test_every_entry_fetches_what_one_has_had_saved(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        for number in range(1, 13):
            caller = cluster.caller((f"10.0.0.{number}", 80))
            cluster.ask("/draft/x", caller=caller, seconds=0.3)
        self.assertEqual(12 * 2, store.reads)
        self.assertEqual([], store.torn_reads)

    def test_news_that_were_lost_are_fetched(self):
        """Datagrams to one entry get lost while a part is saved.

        Symptom: that entry never fetches the part. Sequence: the news of the
        part is lost, the next one arrives. Cause: news were taken without a
        look at what they follow.
        """
        cluster, store = self.started()
        deaf = next(g for g in cluster.gateways if g not in keepers(cluster))
        address = (deaf.settings.host, 7000)
        cluster.net.loses_datagram = lambda sender, receiver: (
            receiver == address
        )
        cluster.ask("/draft/x", seconds=0.6)
        cluster.net.loses_datagram = lambda sender, receiver: False
        cluster.pass_time(2)
        self.assertEqual(2, len(deaf._cache.books["cache"].parts))

    def test_the_keepers_die(self):
        """Both entries that poll are killed at the same moment.

        Symptom: nobody fetches for the nine seconds in which they are still
        listed. Sequence: the keepers die, the others wait for their news.
        Cause: nobody polled for itself.
        """
        cluster, store = self.started()
        for gateway in keepers(cluster):
            gateway._stores.stop()
            gateway._entries._task.cancel()
        alive = [g for g in cluster.gateways if g._stores._tasks]
        self.assertEqual(10, len(alive))
        trusted = 0
        for _ in range(40):
            cluster.pass_time(0.1)
            now = cluster.net.seconds()
            trusted += sum(g._cache.books["cache"].trusted(now) for g in alive)
        self.assertGreater(trusted, 0.8 * 40 * 10)

    def test_a_store_that_comes_back_empty(self):
        cluster, store = self.started()
        cluster.ask("/draft/x", seconds=2)
        store.restart()
        cluster.pass_time(2.5)
        self.assertEqual([{}] * 12, [book.parts for book in books(cluster)])

    def test_news_that_lay_in_a_buffer_are_as_old_as_they_are(self):
        """A machine is suspended; datagrams wait in its socket.

        Symptom: a part is fetched from a store that has restarted since.
        Sequence: a keeper's news arrives, the machine sleeps for five
        seconds, wakes and reads it. Cause: the time of its arrival was taken
        for the time of the store's word.
        """
        cluster, store = self.started(vms=("front-1", "front-2", "front-3"))
        (poll,) = cluster.gateway._stores._polls.values()
        book = poll._book
        now = cluster.net.seconds()
        asked_ms = (now - 5 + book.clock_s) * 1000
        book.heard_at = now - 10
        poll.told(CacheNews("cache", book.epoch, 0, 0, asked_ms))
        self.assertAlmostEqual(now - 5, book.heard_at, 3)
        self.assertFalse(book.trusted(now))


class KeepersTest(TestCase):
    """Who polls, by name alone."""

    def test_two_of_any_number(self):
        for count in (1, 2, 3, 4, 26, 360):
            entries = [
                (f"10.0.{n // 250}.{n % 250}", 7000) for n in range(count)
            ]
            for store in ("cache", "loft"):
                kept = [
                    entry
                    for entry in entries
                    if keeps(entry, [e for e in entries if e != entry], store)
                ]
                self.assertEqual(min(2, count), len(kept), count)

    def test_stores_are_spread_over_entries(self):
        entries = [(f"10.0.0.{n}", 7000) for n in range(26)]
        load = [
            sum(
                keeps(entry, [e for e in entries if e != entry], f"store-{n}")
                for n in range(14)
            )
            for entry in entries
        ]
        self.assertEqual(28, sum(load))
        self.assertLessEqual(max(load), 5)
