"""A sidecar's endpoint as a real process that is killed in an answer."""

import concurrent.futures
import re
import subprocess
import sys
import time

from testtools import TestCase

from tests.processes import Processes, free_port, post

TEAM_KEY = "demo-members"
_READ_S = 0.3
# Answers without a length or chunks: the whole of one to a request with
# "whole" in it, else half of one, after which it says so and waits.
_ENDPOINT = """
import socket, sys, threading, time
def serve(conn):
    data = b""
    while b"}" not in data:
        data += conn.recv(65536)
    conn.sendall(b"HTTP/1.1 200 OK\\r\\n\\r\\n{\\"canoe\\"")
    if b"whole" in data:
        conn.sendall(b": 3}")
        conn.shutdown(socket.SHUT_RDWR)
        conn.close()
        return
    print("half", flush=True)
    time.sleep(60)
server = socket.create_server(("127.0.0.1", int(sys.argv[1])))
print("up", flush=True)
while True:
    conn, _ = server.accept()
    threading.Thread(target=serve, args=(conn,), daemon=True).start()
"""


class KilledEndpointTest(TestCase):
    """A plain service whose answers only a close ends."""

    def test_half_an_answer_is_no_success(self):
        """Guards against the answer of a killed service that looks whole."""
        fleet = self.useFixture(Processes())
        port = self.move_booking(fleet)
        for kind in ("book", "availability"):
            endpoint = self.start_endpoint(fleet, port)
            fleet.wait(lambda: self.is_reached(fleet))
            status, _, text = self.ask(fleet, kind, "whole")
            self.assertEqual((200, '{"canoe": 3}'), (status, text))
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                fut = pool.submit(self.ask, fleet, kind, "half")
                self.assertEqual("half\n", endpoint.stdout.readline())
                time.sleep(_READ_S)
                self.kill(endpoint)
                status, _, text = fut.result()
            self.assertGreaterEqual(status, 500, text)

    def is_reached(self, fleet):
        """Whether the entry reaches the service through its sidecar."""
        return self.ask(fleet, "availability", "whole")[0] == 200

    def ask(self, fleet, kind, word):
        """Returns status, headers and text of a call."""
        url = f"{fleet.entries[0]}/v1/services/booking/{kind}"
        return post(url, {"a": word}, TEAM_KEY, Idempotency_Key=f"{kind}{word}")

    def move_booking(self, fleet):
        """Puts the booking service at a port of this test; returns that."""
        port = free_port()
        path = fleet.folder / "30-endpoints.toml"
        before, name, after = path.read_text().partition(
            "[endpoints.booking-1]"
        )
        target = f'target = "http://127.0.0.1:{port}"'
        after = re.sub(r'target = "[^"]*"', target, after, count=1)
        path.write_text(before + name + after)
        self.assertEqual(0, fleet.stop("booking-1"))
        fleet.wait(lambda: fleet.ctl("apply", str(fleet.folder)) == 0)
        fleet.start(
            "booking-1", "sidecar", "--endpoint=booking-1", fleet.kv_flag
        )
        return port

    def start_endpoint(self, fleet, port):
        """Starts the service; it listens when this returns."""
        endpoint = subprocess.Popen(
            [sys.executable, "-c", _ENDPOINT, str(port)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.kill, endpoint)
        self.assertEqual("up\n", endpoint.stdout.readline())
        return endpoint

    def kill(self, endpoint):
        """Kills the service, if it still runs."""
        endpoint.kill()
        endpoint.wait()
        endpoint.stdout.close()
