"""Tests of the table of stream origins."""

from testtools import TestCase

from magnolialug.ids import ServiceName, SoftwareVersion, TeamId
from magnolialug.policy import streamorigin
from magnolialug.policy.streamorigin import Origin, OriginTable, origin_key

TEAM = TeamId("team-a")
OLD = Origin(ServiceName("llm"), SoftwareVersion("v1"))
NEW = Origin(ServiceName("llm"), SoftwareVersion("v1.2"))


class OriginTableTest(TestCase):
    """Origins are kept for the lifetime of their streams."""

    def test_origins_are_kept_for_their_lifetime(self):
        table = OriginTable()
        key = origin_key(TEAM, "1")
        table.add(key, OLD, 6.0, now=10.0)
        self.assertEqual(OLD, table.find(key, 15.9))
        self.assertIsNone(table.find(key, 16.0))
        table.drop_expired(16.0)
        self.assertEqual(0, len(table))

    def test_stream_that_goes_on_is_kept_for_longer(self):
        """Guards against an origin that lapses between two returns."""
        table = OriginTable()
        key = origin_key(TEAM, "1")
        table.add(key, OLD, 6.0, now=10.0)
        table.add(key, OLD, 6.0, now=14.0)
        self.assertEqual(OLD, table.find(key, 19.0))
        self.assertEqual(9.0, table.age_s(key, 19.0))

    def test_two_origins_of_one_key_are_ambiguous(self):
        """Guards against the last of two streams taken for the first."""
        table = OriginTable()
        key = origin_key(TEAM, "1")
        table.add(key, OLD, 6.0, now=10.0)
        table.add(key, NEW, 6.0, now=11.0)
        self.assertIsNone(table.find(key, 12.0))
        self.assertTrue(table.is_ambiguous(key, 12.0))
        table.add(key, NEW, 6.0, now=18.0)
        self.assertEqual(NEW, table.find(key, 18.0))

    def test_number_of_origins_is_bounded(self):
        """Guards against a caller that fills the memory with ids."""
        table = OriginTable()
        most = streamorigin._MAX_STREAMS
        keys = [origin_key(TEAM, str(number)) for number in range(most + 10)]
        for key in keys:
            table.add(key, OLD, 6.0, now=0.0)
        self.assertEqual(most, len(table))
        self.assertIsNone(table.find(keys[9], 1.0))
        self.assertEqual(OLD, table.find(keys[10], 1.0))

    def test_keys_of_teams_differ_for_every_split_of_names(self):
        """Guards against ids by which one team names another's stream."""
        names = ("a", "a1", "1 a", "")
        keys = {origin_key(TeamId(t), i) for t in names for i in names}
        self.assertEqual(len(names) ** 2, len(keys))
