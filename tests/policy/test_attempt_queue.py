"""The order in which queued attempts get slots."""

from testtools import TestCase

from magnolialug.policy.attemptqueue import AttemptQueue, AttemptTraits


def traits(team="a", tokens=1000, priority=1, share=1.0):
    return AttemptTraits(team, tokens, priority, share)


def fill(queue, names, **fields):
    for name in names:
        queue.push(name, traits(**fields))


def take(step) -> list[str]:
    """Returns all results of a step until it returns None."""
    return list(iter(step, None))


class AttemptQueueTest(TestCase):
    """Slots, fetching ahead, fairness between teams, removal."""

    def test_limits_of_fetching_and_running(self):
        queue = AttemptQueue(100, 8)
        fill(queue, [f"draft-{n}" for n in range(20)])
        fetching = take(queue.next_to_fetch)
        self.assertEqual(11, len(fetching))
        self.assertEqual([], take(queue.next_to_run))
        for name in fetching:
            queue.fetched(name)
        self.assertEqual(7, len(take(queue.next_to_run)))
        self.assertEqual(13, len(queue))

    def test_a_slot_is_reserved_for_urgent_kinds(self):
        """Guards against long drafts that occupy the whole endpoint.

        Symptom: a short check waits for a whole draft. Cause: drafts held every
        slot; now one in eight is reserved for the most urgent kinds.
        """
        queue = AttemptQueue(100, 8)
        fill(queue, [f"draft-{n}" for n in range(20)])
        for name in take(queue.next_to_fetch):
            queue.fetched(name)
        take(queue.next_to_run)
        queue.push("check", traits(tokens=300, priority=0))
        self.assertEqual(["check"], take(queue.next_to_fetch))
        queue.fetched("check")
        self.assertEqual(["check"], take(queue.next_to_run))

    def test_a_flooding_team_delays_other_teams_only_a_little(self):
        """Guards against a team that sends ten times its share.

        Symptom: the other teams wait behind all its attempts. Cause: attempts
        were served in order of arrival. With fair queueing by tokens, the
        flooding team's attempts wait behind each other.
        """
        queue = AttemptQueue(200, 1)
        fill(queue, [f"flood-{n}" for n in range(100)], team="flood")
        fill(queue, ["calm-1", "calm-2"], team="calm")
        order = []
        while len(queue):
            for name in take(queue.next_to_fetch):
                queue.fetched(name)
            for name in take(queue.next_to_run):
                order.append(name)
                queue.ended()
        self.assertLess(order.index("calm-1"), 4)
        self.assertLess(order.index("calm-2"), 6)

    def test_an_attempt_removed_at_any_stage_never_runs(self):
        """Guards against a run of an attempt that was refused before.

        It is refused while it waits, fetches or is ready. Symptom: it runs
        nevertheless. Cause: one of the stages still contained it.
        """
        for stage in range(3):
            queue = AttemptQueue(10, 2)
            queue.push("x", traits())
            if stage > 0:
                queue.next_to_fetch()
            if stage > 1:
                queue.fetched("x")
            self.assertTrue(queue.remove("x"))
            queue.fetched("x")
            self.assertIsNone(queue.next_to_fetch())
            self.assertIsNone(queue.next_to_run())
            self.assertFalse(queue.remove("x"))
