"""One resource class for all stand-ins' HTTP faces."""

from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger
from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

__all__ = ["Face", "query"]


def query(req: Request, name: str, default: str = "") -> str:
    """Returns one query argument."""
    return req.args.get(name.encode(), [default.encode()])[0].decode()


class Face(Resource):
    """Passes every request to one coroutine.

    Args:
      handle: gets the method, the path's parts, the request and its body; it
        returns a status and a body (bytes, or an object for JSON), or None if
        it writes the response itself.
    """

    isLeaf = True

    def __init__(
        self,
        handle: Callable[
            [str, list[str], Request, bytes],
            Awaitable[tuple[int, object] | None],
        ],
    ):
        super().__init__()
        self._handle = handle

    def render(self, req: Request):
        """Starts the coroutine."""
        ensureDeferred(self._serve(req))
        return NOT_DONE_YET

    async def _serve(self, req: Request) -> None:
        gone: list[object] = []
        req.notifyFinish().addErrback(gone.append)
        parts = [part.decode() for part in req.postpath]
        try:
            reply = await self._handle(
                req.method.decode(), parts, req, req.content.read()
            )
        except Exception:  # noqa: BLE001 - a stand-in reports and goes on
            logger.exception("stand-in failed")
            reply = (500, b"stand-in failed")
        if reply is None or gone:
            return
        status, body = reply
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        req.setResponseCode(status)
        req.write(data)
        req.finish()
