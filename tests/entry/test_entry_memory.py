"""Callers that do not behave, and the memory of real entries and sidecars."""

import json
import time
from itertools import chain

import fixtures
from testtools import TestCase

from tests.crowd import Crowd
from tests.crowdtest import in_pieces
from tests.gatewayprocess import most_memory_mb
from tests.processes import Processes, post

_KEY = "demo-members"
_MEMORY_MB = 120
_CROWD = 60
_CROWD_S = 6.0
_TEXT = "x" * 1_900_000
_PROMPT = {"model": "guide", "prompt": _TEXT, "max_tokens": 4}
_COMPLETIONS = "/v1/completions"
_BOOKINGS = "/v1/services/booking/book"


def request(path: str, body: dict, key: str = _KEY, name: str = "") -> bytes:
    """Returns a request of the completions API."""
    data = json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: a"]
    lines += [f"Authorization: Bearer {key}", f"Idempotency-Key: {name}"]
    lines += [f"Content-Length: {len(data)}", "", ""]
    return "\r\n".join(lines).encode() + data


class EntryMemoryTest(TestCase):
    """Entries and sidecars stay within their memory, and serve."""

    def setUp(self):
        super().setUp()
        name = "MAGNOLIALUG_MEMORY_MB"
        self.useFixture(fixtures.EnvironmentVariable(name, str(_MEMORY_MB)))
        self.fleet = self.useFixture(Processes())

    def crowd(self, pieces, count=_CROWD, **options) -> None:
        """Lets a crowd come to the first entry."""
        host, _, port = self.fleet.entries[0].rpartition("/")[2].partition(":")
        crowd = Crowd((host, int(port)), count, pieces, **options)
        crowd.start()
        self.addCleanup(crowd.stop)

    def serves(self) -> bool:
        """Whether an ordinary prompt is answered."""
        url = self.fleet.entries[0] + _COMPLETIONS
        body = {**_PROMPT, "prompt": f"ordinary {time.monotonic()}"}
        return post(url, body, _KEY)[0] == 200

    def check(self) -> None:
        """Checks all processes beside the crowd."""
        time.sleep(_CROWD_S)
        self.fleet.wait(self.serves)
        for name, process in self.fleet.running.items():
            if name == "standins":
                continue
            self.assertIsNone(process.poll(), name)
            memory_mb = most_memory_mb(process.pid)
            self.assertLessEqual(memory_mb, _MEMORY_MB, name)

    def test_whole_prompts(self):
        """Guards against prompts that end an entry, each with its copies."""
        self.crowd(
            lambda n: in_pieces(
                request(_COMPLETIONS, {**_PROMPT, "prompt": f"{n} {_TEXT}"})
            )
        )
        self.check()

    def test_prompts_short_of_their_end(self):
        """Guards against prompts that wait for a last byte."""
        data = request(_COMPLETIONS, _PROMPT)[:-1]
        self.crowd(lambda n: in_pieces(data))
        self.check()

    def test_prompts_with_an_unknown_key_short_of_their_end(self):
        """Guards against prompts that are kept for a key that nobody has."""
        data = request(_COMPLETIONS, _PROMPT, "nobody")[:-1]
        self.crowd(lambda n: in_pieces(data))
        self.check()

    def test_prompts_ahead(self):
        """Guards against requests ahead whose bodies outlast them."""
        one = request(_COMPLETIONS, _PROMPT)
        self.crowd(
            lambda n: chain.from_iterable(in_pieces(one) for _ in range(12)),
            count=10,
        )
        self.check()

    def test_bookings_that_wait_at_a_sidecar(self):
        """Guards against a sidecar's queue that is bounded in number alone."""

        def pieces(number: int):
            body = {"boat": number, "note": _TEXT}
            return in_pieces(request(_BOOKINGS, body, name=f"k{number}"))

        self.crowd(pieces)
        self.check()

    def test_requests_ahead_that_are_refused(self):
        """Guards against refusals that gather while none is read."""
        one = b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n" * 2_000
        self.crowd(lambda n: iter([one] * 40))
        self.check()
