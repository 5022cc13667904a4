"""Registry entries that are missing after an outage and return."""

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.entry.directory import Directory
from magnolialug.entry.registry import Registry
from magnolialug.platform.kv import KvEntry

_HEARTBEAT_S = 1.2
_KEY = "servers/i-1"


def entry(revision, is_present=True):
    """Returns an endpoint's entry, or its removal."""
    row = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    value = msgspec.json.encode(row) if is_present else None
    return KvEntry(_KEY, value, revision)


class RegistryTest(TestCase):
    """One endpoint, after a long outage of the key-value service."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.directory = Directory(self.clock)
        self.registry = Registry(self.directory, self.clock, _HEARTBEAT_S)
        self.registry.snapshot([entry(1)])
        self.registry.lost()
        self.clock.advance(10)
        self.registry.back(10.0)
        self.registry.changed(entry(2, is_present=False))

    def test_a_missing_entry_is_dropped_after_two_seconds(self):
        self.clock.advance(1.9)
        self.registry.tick()
        self.assertEqual(1, len(self.directory.peers))
        self.clock.advance(0.2)
        self.registry.tick()
        self.assertEqual({}, self.directory.peers)

    def test_an_endpoint_that_is_registered_again_stays(self):
        """Guards against dropping an endpoint whose entry has returned."""
        self.clock.advance(2.1)
        self.registry.snapshot([entry(3)])
        self.registry.tick()
        self.assertEqual(1, len(self.directory.peers))


class FollowedVersionsTest(TestCase):
    """Since when no software version can have been missed."""

    def test_snapshot_in_place_of_changes_begins_anew(self):
        """Guards against a version that came and went between two answers."""
        clock = Clock()
        directory = Directory(clock)
        registry = Registry(directory, clock, _HEARTBEAT_S, lambda: 9)
        registry.snapshot([entry(1)])
        clock.advance(10)
        registry.changed(entry(2))
        self.assertEqual(0.0, directory.software.known_since)
        registry.snapshot([entry(2)])
        self.assertEqual(10.0, directory.software.known_since)
        self.assertEqual(9, directory.software.known_from)
