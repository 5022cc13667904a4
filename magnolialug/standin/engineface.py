"""The engine stand-in behind completions with server-sent events."""

import msgspec
from twisted.web.server import Request

from magnolialug.ids import BlockId
from magnolialug.result import Failure
from magnolialug.sidecar.engine import EngineJob, Order, Usage
from magnolialug.standin.engine import EngineStandin
from magnolialug.standin.web import Face

__all__ = ["engine_face"]


class _Completion(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int
    priority: int
    cache_salt: str
    weights: str
    resume_after: int = 0
    resume_text: str = ""


class _Stream:
    """Writes a run's pieces and pauses it when the socket is full."""

    def __init__(self, req: Request):
        self._req = req
        self.run = None
        self._gone = False
        req.setHeader("Content-Type", "text/event-stream")
        req.registerProducer(self, True)
        req.notifyFinish().addErrback(self._left)

    def pauseProducing(self) -> None:
        """Pauses the run."""
        if self.run:
            self.run.pause()

    def resumeProducing(self) -> None:
        """Lets the run go on."""
        if self.run:
            self.run.resume()

    def stopProducing(self) -> None:
        """Is followed by the request's own end."""

    def piece(self, text: str) -> None:
        """Writes one piece."""
        self._write({"choices": [{"text": text, "index": 0}]})

    def ended(self, result: Usage | Failure) -> None:
        """Writes the usage and closes."""
        if self._gone:
            return
        if isinstance(result, Usage):
            usage = {
                "prompt_tokens": result.prompt_tokens,
                "completion_tokens": result.output_tokens,
                "prompt_tokens_details": {
                    "cached_tokens": result.cached_tokens
                },
            }
            self._write({"choices": [], "usage": usage})
            self._req.write(b"data: [DONE]\n\n")
        self._req.unregisterProducer()
        self._req.finish()

    def _left(self, _: object) -> None:
        self._gone = True
        self.run.cancel()

    def _write(self, event: dict) -> None:
        self._req.write(b"data: " + msgspec.json.encode(event) + b"\n\n")


def engine_face(engine: EngineStandin) -> Face:
    """Returns the HTTP resource of an engine."""

    async def handle(method: str, parts: list[str], req: Request, data: bytes):
        if parts == ["v1", "completions"]:
            _complete(engine, req, data)
            return None
        if parts == ["cache", "lookup"]:
            held = await engine.held(msgspec.json.decode(data)["ids"])
            return 200, {"held": held}
        if parts == ["orders"]:
            result = await engine.order(msgspec.json.decode(data, type=Order))
            return (409, result.reason.encode()) if result else (200, b"")
        block = BlockId(parts[-1])
        if method == "PUT":
            result = await engine.import_block(block, data)
            return (422, result.reason.encode()) if result else (200, b"")
        found = await engine.export_block(block)
        return (404, b"") if isinstance(found, Failure) else (200, found)

    return Face(handle)


def _complete(engine: EngineStandin, req: Request, data: bytes) -> None:
    body = msgspec.json.decode(data, type=_Completion)
    job = EngineJob(
        kind="",
        model=body.model,
        weights=body.weights,
        body=body.prompt,
        salt=body.cache_salt,
        max_tokens=body.max_tokens,
        priority=body.priority,
        resume_after=body.resume_after,
        resume_text=body.resume_text,
    )
    stream = _Stream(req)
    stream.run = engine.start(job, stream.piece)
    stream.run.done.addCallback(stream.ended)
