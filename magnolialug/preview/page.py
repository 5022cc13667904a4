"""The page on which a gateway answers previews."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import msgspec

from magnolialug.entry.readiness import Page
from magnolialug.preview.explanation import Explanation, Refusal
from magnolialug.result import CODES, Failure

__all__ = ["PREVIEW_PATH", "preview_page"]

PREVIEW_PATH = b"/preview"
_Params = Mapping[bytes, Sequence[bytes]]


def preview_page(
    explain: Callable[[_Params], Awaitable[Explanation | Failure]],
) -> Page:
    """Returns a page that answers with an explanation, or why there is none."""

    async def answer(params: _Params) -> tuple[int, bytes]:
        found = await explain(params)
        if isinstance(found, Failure):
            body = msgspec.json.encode(Refusal.of(found))
            return CODES[found.code].status, body
        return 200, msgspec.json.encode(found)

    return answer
