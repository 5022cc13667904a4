"""Calls to a model engine besides its requests: report and orders."""

import enum
from collections.abc import Callable

import msgspec

from magnolialug.carrier.client import Client, NoReply, Reply, request_bytes
from magnolialug.ids import EndpointId
from magnolialug.jsoninput import Count, Name, decode_json
from magnolialug.platform.notices import read_notices
from magnolialug.policy.endpointnotice import ReceivedNotices
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.result import Code, Failure, failed

__all__ = ["EngineCalls", "OrderReply", "Report"]

# A report is answered from memory; a second without one means trouble.
_REPORT_S = 0.8
# An order is only accepted, not carried out, before its answer, which takes
# milliseconds, or 0.2 s more when a packet is lost. One that has none may be
# given again, so waiting for longer gains nothing.
_ORDER_S = 0.3
# Reports have some hundred bytes. Those of many engines arrive at once.
_MAX_ANSWER_BYTES = 64 * 1024


class Report(msgspec.Struct, frozen=True):
    """What an engine says of itself; some hundred milliseconds old.

    Attributes:
      orders: how many orders it has accepted since its start.
      busy: whether an order is being carried out.
      weights: the version of each model.
      born_ms: when it was started, by its own clock; 0 if it does not say.
    """

    orders: int
    busy: bool
    weights: dict[str, int]
    waiting: int = 0
    running: int = 0
    born_ms: int = 0


class OrderReply(enum.Enum):
    """What became of an order.

    UNKNOWN: no answer came; it may be carried out, even seconds later.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    MISPLACED = "misplaced"
    REFUSED = "refused"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


_REPLIES = {
    200: OrderReply.HOLDS,
    202: OrderReply.ACCEPTED,
    409: OrderReply.BUSY,
    412: OrderReply.FENCED,
    421: OrderReply.MISPLACED,
}


class _WireModel(msgspec.Struct):
    name: Name
    version: Count = 0


class _WireReport(msgspec.Struct):
    """The body of `GET /report`; `sequence` counts accepted orders here."""

    sequence: Count
    busy: bool = False
    models: list[_WireModel] = []
    waiting: Count = 0
    running: Count = 0
    born: Count = 0


def _expecting(endpoint: EndpointId) -> dict[str, str]:
    return {"X-Expect-Instance": endpoint}


class _WireStart(msgspec.Struct):
    """What the body of any answer may say of the engine's start."""

    born: Count = 0


class EngineCalls:
    """Asks and orders engines, on connections of its own."""

    def __init__(self, client: Client):
        self._client = client

    async def report(
        self,
        engine: RegisteredEndpoint,
        on_notices: Callable[[ReceivedNotices], None],
    ) -> Report | Failure:
        """Returns what an engine says of itself.

        Args:
          on_notices: receives the notices of each answer, refusals included.
        """
        host = engine.address[0]
        request = request_bytes(
            "GET", host, "/report", headers=_expecting(engine.endpoint)
        )
        reply = await self._ask(engine, request, _REPORT_S, on_notices)
        if isinstance(reply, NoReply):
            return failed(Code.CONNECTION_CLOSED, reply.end.value)
        if reply.status != 200:
            return failed(Code.ENDPOINT_FAILED, f"status {reply.status}")
        row = decode_json(
            reply.body, _WireReport, Code.BAD_ENTRY, engine.endpoint
        )
        if isinstance(row, Failure):
            return row
        return Report(
            orders=row.sequence,
            busy=row.busy,
            weights={model.name: model.version for model in row.models},
            waiting=row.waiting,
            running=row.running,
            born_ms=row.born,
        )

    async def take_weights(
        self,
        engine: RegisteredEndpoint,
        model: str,
        version: int,
        mode: str,
        holder: str,
        fence: int,
        after_orders: int,
        on_notices: Callable[[ReceivedNotices], None],
    ) -> OrderReply:
        """Orders an engine to take a version of a model's weights.

        Args:
          mode: "wait", "truncate" or "retain": what becomes of its runs.
          fence: the holder's fencing token.
          after_orders: how many orders the engine must have accepted before.
            An order whose answer was lost can be carried out seconds later;
            this number makes the engine drop it if a newer one came first.
          on_notices: receives the notices of the answer, whatever it is.
        """
        body = {
            "operation": "version",
            "model": model,
            "version": version,
            "updateMode": mode,
            "holder": holder,
            "fencingToken": fence,
            "expected": after_orders,
        }
        request = request_bytes(
            "POST",
            engine.address[0],
            "/order",
            msgspec.json.encode(body),
            _expecting(engine.endpoint),
        )
        reply = await self._ask(engine, request, _ORDER_S, on_notices)
        if isinstance(reply, NoReply):
            unsent = reply.end.value == "unsent"
            return OrderReply.UNSENT if unsent else OrderReply.UNKNOWN
        return _REPLIES.get(reply.status, OrderReply.REFUSED)

    async def _ask(
        self,
        engine: RegisteredEndpoint,
        request: bytes,
        timeout_s: float,
        on_notices: Callable[[ReceivedNotices], None],
    ) -> Reply | NoReply:
        asked_at = self._client.seconds()
        reply = await self._client.ask(
            engine.address, request, timeout_s, max_bytes=_MAX_ANSWER_BYTES
        )
        if isinstance(reply, Reply):
            notices = read_notices(reply.status, reply.headers, engine.endpoint)
            seen_at = self._client.seconds()
            born_ms = _born_ms(reply.body)
            on_notices(ReceivedNotices(notices, asked_at, seen_at, born_ms))
        return reply


def _born_ms(body: bytes) -> int:
    """Returns the start that an answer's body names, 0 if it names none."""
    row = decode_json(body, _WireStart, Code.BAD_ENTRY, "born")
    return 0 if isinstance(row, Failure) else row.born
