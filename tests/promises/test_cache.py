"""No block is read freed, torn, of another team or another version."""

import msgspec
from testtools import TestCase

from magnolialug.config.current import make_doc
from magnolialug.config.deployment import from_text, to_text
from magnolialug.entry.retryloop import Served
from magnolialug.policy.blocks import (
    BLOCK_TOKENS,
    BYTES_PER_TOKEN,
    block_digest,
)
from magnolialug.policy.storedblock import BlockMeta, Tier
from magnolialug.result import Executed
from tests.harness import Cluster

BLOCKS = 6
PROMPT = "dossier " * (BLOCKS * BLOCK_TOKENS * BYTES_PER_TOKEN // 8) + "end"


def evict_engines(cluster):
    for engine in cluster.engines.values():
        engine.evict_all()


def visit(cluster, team="members", entry=0):
    call = cluster.prompt(PROMPT, 2, team)
    outcome = cluster.call(entry, call)
    result = cluster.finish(outcome)
    cluster.run(2)
    return result


def truncate(store, cluster):
    store.truncate_reads = 2


def down(store, cluster):
    store.down = True


def restart(store, cluster):
    store.restart()


def restart_between_lookup_and_read(store, cluster):
    read = store.read

    async def late(stored):
        store.read = read
        store.restart()
        return await read(stored)

    store.read = late


def evict_between_lookup_and_read(store, cluster):
    read = store.read

    async def late(stored):
        store.read = read
        await store.remove(stored.block, stored.generation)
        return await read(stored)

    store.read = late


def rewrite_between_lookup_and_read(store, cluster):
    """The block is freed and its id written again with other bytes."""
    read = store.read

    async def late(stored):
        store.read = read
        await store.remove(stored.block, stored.generation)
        generation = await store.stage(stored.block, b"x" * 10, Tier.MEMORY)
        digest = block_digest(b"x" * 10)
        await store.seal(stored.block, generation, 10, digest, BlockMeta())
        return await read(stored)

    store.read = late


FAULTS = (
    truncate,
    down,
    restart,
    restart_between_lookup_and_read,
    evict_between_lookup_and_read,
    rewrite_between_lookup_and_read,
)


class CacheTest(TestCase):
    """The way of a block out and in."""

    def test_return_visit_imports(self):
        cluster = Cluster(bookings=0)
        first = visit(cluster)
        evict_engines(cluster)
        second = visit(cluster, entry=1)
        self.assertEqual(0, first.done.imported_tokens)
        self.assertEqual(BLOCKS * BLOCK_TOKENS, second.done.imported_tokens)

    def test_store_faults(self):
        """A store fails on the way in.

        Symptom: an answer from cache that was never the prompt's. Sequence:
        each fault strikes between a visit and its return, or between lookup
        and read. Cause: a block can be torn, freed or replaced at any time;
        what does not match its generation, length and digest is recomputed.
        """
        for fault in FAULTS:
            cluster = Cluster(bookings=0)
            visit(cluster)
            evict_engines(cluster)
            fault(cluster.stores["cache-1"], cluster)
            second = visit(cluster, entry=1)
            self.assertIsInstance(second, Served, fault)
            for engine in cluster.engines.values():
                self.assertEqual(0, engine.violations, fault)
            self.assertGreater(second.done.recomputed_tokens, 0, fault)

    def test_crash_in_mid_write(self):
        """A writer dies between stage and seal.

        Symptom: a torn block is read. Cause: staged bytes are incomplete
        until sealed with their length and digest; nobody can look them up.
        """
        cluster = Cluster(bookings=0)
        store = cluster.stores["cache-1"]

        async def never(*args):
            return msgspec.UNSET

        seal, store.seal = store.seal, never
        visit(cluster)
        store.seal = seal
        evict_engines(cluster)
        second = visit(cluster, entry=1)
        self.assertEqual(0, second.done.imported_tokens)

    def test_full_store_keeps_what_is_worth_more(self):
        cluster = Cluster(bookings=0)
        store = cluster.stores["cache-1"]
        store.spec.room[Tier.MEMORY] = 2 * 4096
        store.spec.room[Tier.DISK] = 2 * 4096
        self.assertIsInstance(visit(cluster), Served)
        evict_engines(cluster)
        second = visit(cluster, entry=1)
        self.assertEqual(4 * BLOCK_TOKENS, second.done.imported_tokens)

    def test_two_teams_share_no_cache(self):
        """The same prompt from two teams.

        Symptom: a fast first word tells one team what another has asked.
        Cause: the team is in the seed of every block id.
        """
        cluster = Cluster(bookings=0)
        visit(cluster, "members")
        foreign = visit(cluster, "renters")
        self.assertEqual(0, foreign.done.imported_tokens)
        self.assertEqual(
            foreign.done.prompt_tokens, foreign.done.recomputed_tokens
        )

    def test_version_changes(self):
        """Weights change between two visits, or between route and dispatch.

        Symptom: an answer of the new weights from the old ones' cache.
        Sequence: a visit, then the version changes at the sidecars, the
        entry still has the old one. Cause: caches of two versions differ;
        the version is in the seed, and the sidecar refuses the old one as
        not run until the entry has learned the new one from it.
        """
        cluster = Cluster(bookings=0)
        visit(cluster)
        old = from_text(cluster.text)
        models = {
            "guide": msgspec.structs.replace(old.models["guide"], weights="v2")
        }
        text = to_text(msgspec.structs.replace(old, models=models))
        call = cluster.prompt(PROMPT, 2)
        cluster.sidecars["model-1"].current.offer(make_doc(2, text))
        cluster.sidecars["model-2"].current.offer(make_doc(2, text))
        outcome = cluster.call(0, call)
        result = cluster.finish(outcome)
        self.assertIsInstance(result, Served, result)
        self.assertEqual(0, result.done.imported_tokens)
        self.assertEqual(
            result.done.prompt_tokens, result.done.recomputed_tokens
        )
        self.assertEqual(2, cluster.entries[0].current.version)

    def test_sidecar_refuses_another_version(self):
        cluster = Cluster(bookings=0, models=1)
        call = msgspec.structs.replace(
            cluster.prompt(PROMPT, 2, wait=1.0), weights="v0"
        )
        cluster.entries[0].current.deployment.models["guide"] = (
            msgspec.structs.replace(
                cluster.sidecars["model-1"].current.deployment.models["guide"],
                weights="v0",
            )
        )
        result = cluster.finish(cluster.call(0, call))
        self.assertEqual(Executed.NO, result.executed)
        self.assertEqual(0, cluster.engines["model-1"].runs)
