"""Callers that read a stream slowly."""

import asyncio
import contextlib
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "kit2"))

from fleet import (  # noqa: E402
    Engine,
    Gateway,
    Record,
    Store,
    main,
    read_answer,
    request_text,
    service_row,
    tenant,
)

_CALLERS = 10
_EVENTS = 64
_WINDOW_BYTES = 2048
# A slow caller takes this much at a time, with a pause behind it.
_BITE_BYTES = 1024
_PAUSE_S = 1.0
_BUDGET_MS = 15000
_MOST_LOST = 3


class LongEngine(Engine):
    """Makes streams of 64 events, 30 ms apart."""

    async def run_request(self, target, headers, body, reader, writer) -> bool:
        """Runs a generation."""
        request_id = headers.get("x-request-id", "")
        self.ran.append(request_id)
        self.record.note(f"server {self.id} runs {request_id}")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{k}: {v}" for k, v in self.stamp(request_id).items()]
        lines += ["X-Weight-Versions: 1", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        count = _EVENTS if target.startswith("/digest/") else 1
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: {'w' * 50}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.note(f"server {self.id} has sent all of {request_id}")
        return True


def _config() -> dict:
    def route(name: str, prefix: str) -> dict:
        return {
            "name": name,
            "host": "w.example",
            "pathPrefix": prefix,
            "routeType": "streaming",
            "timeoutMs": _BUDGET_MS,
            "targetLatencyMs": 2045,
            "targetGapMs": 500,
            "priority": 1,
            "service": "lm",
            "maxAttempts": 1,
            "public": False,
            "sessionAffinity": True,
            "resumable": False,
        }

    engine = {
        "slots": 64,
        "kvCapacityTokens": 77967,
        "kvTokenBytes": 163840,
        "linkMbps": 1100000.0,
        "managed": True,
        "maxInFlight": 12,
        "models": [{"name": "m"}],
    }
    return {
        "version": 3,
        "routes": [route("digest", "/digest/"), route("label", "/label/")],
        "services": [service_row("lm", maxConnections=440, engine=engine)],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [tenant("team-a", "key-a")],
    }


def _request(path: str, request_id: str) -> bytes:
    return request_text(
        "POST",
        path,
        {
            "Host": "w.example",
            "X-Request-Id": request_id,
            "X-Model-Name": "m",
            "X-Token-Counts": "400,64",
            "X-Prompt-Prefix": f"{request_id}:400",
            "X-Request-Deadline-Ms": str(_BUDGET_MS),
            "Authorization": "Token key-a",
        },
        b"{}",
    )


class _Bites(asyncio.StreamReader):
    """What a caller has taken off its connection."""


async def _read(sock: socket.socket, into: _Bites, slow: bool) -> None:
    """Takes bytes off a connection, slowly or as they come."""
    loop = asyncio.get_running_loop()
    try:
        while data := await loop.sock_recv(sock, _BITE_BYTES):
            into.feed_data(data)
            if slow:
                await asyncio.sleep(_PAUSE_S)
        into.feed_eof()
    except ConnectionError as exc:
        into.set_exception(exc)


async def _caller(
    number: int, gateway: Gateway, record: Record, slow: bool
) -> bool:
    """Sends two requests on one connection; whether both were answered."""
    loop = asyncio.get_running_loop()
    with contextlib.closing(socket.socket()) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, gateway.front)
        taken = _Bites(limit=2**20)
        reading = asyncio.create_task(_read(sock, taken, False))
        await loop.sock_sendall(sock, _request("/label/a", f"first{number}"))
        await read_answer(taken)
        reading.cancel()
        taken = _Bites(limit=2**20)
        name = f"second{number}"
        began = time.monotonic()
        await loop.sock_sendall(sock, _request("/digest/a", name))
        reading = asyncio.create_task(_read(sock, taken, slow))
        try:
            status, _, body = await asyncio.wait_for(
                read_answer(taken), _BUDGET_MS / 1000
            )
        except (ConnectionError, asyncio.IncompleteReadError) as exc:
            record.note(
                f"caller {name}: its connection was closed without a whole"
                f" answer after {time.monotonic() - began:.1f} s:"
                f" {type(exc).__name__}"
            )
            return False
        except TimeoutError:
            record.note(f"caller {name}: its time budget is over; not counted")
            return True
        finally:
            reading.cancel()
        events = body.count(b"\n\n")
        record.note(f"caller {name}: status {status}, {events} events")
        return status == 200 and events == _EVENTS


async def _play(
    record: Record, store: Store, folder: str, trouble: bool
) -> bool:
    engines = [LongEngine(store, "lm", zone, record, "m") for zone in "ab"]
    store.put_json("op/config", _config())
    for engine in engines:
        await engine.listen()
        engine.register()
    gateway = Gateway("front-a-1", "a", store, folder)
    try:
        await gateway.start()
        await gateway.until_ready()
        await asyncio.sleep(4.0)
        answered = await asyncio.gather(
            *(_caller(n, gateway, record, trouble) for n in range(_CALLERS))
        )
        lost = answered.count(False)
        ran = sum(
            len([one for one in engine.ran if one.startswith("second")])
            for engine in engines
        )
        record.note(f"{ran} requests ran, {lost} callers got no whole answer")
        for line in gateway.log_lines():
            if "second" in str(line.get("request", "")):
                record.note(f"gateway: {line}")
        return lost <= _MOST_LOST
    finally:
        await gateway.close()
        for engine in engines:
            engine.close()


if __name__ == "__main__":
    main(_play, pathlib.Path(__file__).parent)
