"""A fresh process's first configuration: the highest that anyone has."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.config.current import Current
from magnolialug.confstore import read_doc, read_head
from magnolialug.platform.kv import Kv
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep
from magnolialug.wire.messages import ConfigDoc

__all__ = ["Source", "from_kv", "load_highest"]

Source = Callable[[], Awaitable[ConfigDoc | Failure]]

_TRY_FOR_S = 60.0


def from_kv(kv: Kv) -> Source:
    """Returns a source that reads the head in the key-value service."""

    async def read() -> ConfigDoc | Failure:
        head = await read_head(kv)
        if isinstance(head, Failure):
            return head
        if not head.changes:
            return failed(Code.CONFIG_MISSING)
        return await read_doc(kv, head.changes[0])

    return read


async def load_highest(
    sources: Sequence[Source],
    current: Current,
    clock: IReactorTime,
    random: Random,
) -> Failure | None:
    """Puts the highest version that any source has in force.

    VMs are replaced while the KV is away, and a KV restored from a backup
    offers an old head. A process that believed the KV alone would not start,
    or would start with what had been changed; one would notice an old key
    that works again at one entry. So the KV and some peers are asked each
    time, and the highest version wins. The pauses between tries are drawn at
    random, so that a zone's worth of fresh processes does not ask as one.

    Returns:
      the last failure if nobody had a configuration for a minute.
    """
    backoff = Backoff(base_s=0.2)
    limit = clock.seconds() + _TRY_FOR_S
    while True:
        asked = [ensureDeferred(source()) for source in sources]
        answers = await DeferredList(asked, consumeErrors=True)
        docs = [answer for _, answer in answers]
        failure = _apply_highest(docs, current)
        if current.version:
            return None
        if clock.seconds() >= limit:
            return failure
        await sleep(clock, backoff.next(random))


def _apply_highest(docs: list, current: Current) -> Failure:
    found = [doc for doc in docs if isinstance(doc, ConfigDoc)]
    for doc in sorted(found, key=lambda doc: -doc.version):
        if current.offer(doc) is None:
            break
    failures = [doc for doc in docs if isinstance(doc, Failure)]
    return failures[-1] if failures else failed(Code.CONFIG_MISSING)
