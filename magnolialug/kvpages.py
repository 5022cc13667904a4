"""Reads all entries of the key-value service page by page."""

from magnolialug.carrier.progress import Progress
from magnolialug.platform.kv import Kv, KvEntry, Page, Snapshot
from magnolialug.result import Code, Failure, failed

__all__ = ["Pages", "read_pages"]

_LIMIT = 100


class Pages:
    """The pages of one prefix that have been read so far.

    Args:
      stale: whether answers that are seconds old will do.
    """

    def __init__(self, prefix: str, stale: bool = False):
        self.prefix = prefix
        self.stale = stale
        self.after = ""
        self.count = 0
        self._entries: list[KvEntry] = []
        self._revision = 0

    def add(self, page: Page) -> None:
        """Takes the next page."""
        self.count += 1
        self._entries += page.entries
        self._revision = self._revision or page.revision
        if page.entries:
            self.after = page.entries[-1].key

    def snapshot(self) -> Snapshot:
        """Returns all entries with the revision of the first page.

        Pages are not one snapshot; asking for changes from the first one's
        revision misses nothing.
        """
        return Snapshot(tuple(self._entries), self._revision)


async def read_pages(
    kv: Kv,
    pages: Pages,
    progress: Progress | None = None,
    slack_s: float | None = None,
) -> Snapshot | Failure:
    """Reads the pages that are left.

    After a failure `pages` holds those that have been read, and another call
    goes on behind them: where each page takes long, one that is lost must not
    cost all the others.

    Args:
      progress: records what arrives of the newest page.
      slack_s: the longest time until a page begins, None for the longest that
        is of use.
    """
    while pages.count < _LIMIT:
        page = await kv.page(
            pages.prefix, pages.after, pages.stale, progress, slack_s
        )
        if isinstance(page, Failure):
            return page
        pages.add(page)
        if not page.more:
            return pages.snapshot()
    return failed(Code.KV_NONSENSE, "pages without end", "pathPrefix")
