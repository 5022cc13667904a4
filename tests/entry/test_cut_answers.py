"""Answers of real servers that end after some bytes, at a real gateway."""

import asyncio
import tempfile
from random import Random

import msgspec
from testtools import TestCase

from tests.cutcallers import Row, Verdict, check_row, gateway, length_of
from tests.cutservers import Case, answer

_SEED = 82
_CUTS = 16
_EVENTS = 4
_STREAMS = ("/again/", "/once/")
_PLAIN = ("/read/", "/book/")


def _streams(*framings):
    return [
        Case(framing, events=_EVENTS, eol=eol, step=step, version=version)
        for framing in framings
        for eol, step, version in (("lf", 1, 0), ("crlf", 6, 1))
    ]


def _head_bytes(case):
    return answer(case, "cut0000001", 1).index(b"\r\n\r\n") + 4


class _CutAnswersTest(TestCase):
    """One gateway; every server ends its first answer to each request."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = folder.name
        cls.gateway = gateway(cls.folder)
        cls.addClassCleanup(cls.gateway.cleanUp)
        cls.gateway.setUp()

    def setUp(self):
        super().setUp()
        self.random = Random(_SEED)

    def see(self, prefix, case, cuts, http="1.1"):
        """Returns what became of one row's requests."""
        row = Row(prefix, case, tuple(cuts), http)
        found = asyncio.run(check_row(self.gateway.front, self.folder, row))
        self.assertEqual(0, found.get("late", 0), row)
        self.assertEqual(0, found["twice"], row)
        self.assertEqual(0, found.get(Verdict.WRONG.value, 0), row)
        return found

    def check_none_false(self, prefix, case, cuts, http="1.1"):
        found = self.see(prefix, case, cuts, http)
        self.assertEqual([], found["at"], (prefix, case, http))
        return found

    def some(self, length):
        """Returns some bytes at which an answer ends."""
        return sorted(self.random.sample(range(length), _CUTS))

    def ends_of_events(self, case):
        """Returns the bytes behind the head and each event but the last."""
        end = {"lf": b"\n\n", "crlf": b"\r\n\r\n"}[case.eol]
        head = _head_bytes(case)
        data, ends = answer(case, "cut0000001", 1), [head]
        while (found := data.find(end, ends[-1])) >= 0:
            ends.append(found + len(end))
        return ends[:-1]


class SoundServersTest(_CutAnswersTest):
    """Servers that have answered too few requests to be thought broken."""

    def test_resumable_streams_that_only_a_close_ends_are_whole(self):
        """Guards against a FIN between two events taken for the end."""
        case = Case("close", events=_EVENTS)
        cuts = self.ends_of_events(case)
        self.check_none_false("/again/", case, cuts)


class BrokenServersTest(_CutAnswersTest):
    """Servers of which none is thought sound any more."""

    def test_resumable_streams_that_only_a_close_ends_are_not_whole(self):
        """Guards against a false end that no sound server can be asked of."""
        case = Case("close", events=_EVENTS)
        cuts = self.ends_of_events(case)
        for _ in range(6):
            self.check_none_false("/again/", case, cuts * 2)


class CutAnswersTest(_CutAnswersTest):
    """Answers that end at any byte."""

    def test_framed_answers_that_end_early_do_not_look_whole(self):
        """Guards against half an answer that is framed as whole."""
        for close in ("fin", "rst"):
            for prefix in _PLAIN:
                for framing in ("length", "chunks"):
                    case = Case(framing, close)
                    cuts = self.some(length_of(case))
                    self.check_none_false(prefix, case, cuts)
            for prefix in _STREAMS:
                for case in _streams("length", "chunks"):
                    case = msgspec.structs.replace(case, close=close)
                    cuts = self.some(length_of(case))
                    self.check_none_false(prefix, case, cuts)

    def test_resumable_streams_are_taken_up_behind_a_whole_event(self):
        """Guards against runs that are joined inside an event."""
        for case in _streams("close"):
            reset = msgspec.structs.replace(case, close="rst")
            self.check_none_false("/again/", reset, self.some(length_of(case)))
            self.check_none_false("/again/", case, self.some(length_of(case)))

    def test_runs_are_not_joined_inside_a_line_end(self):
        """Guards against a CRLF of which one run has half."""
        case = Case("length", "rst", events=_EVENTS, eol="crlf")
        cuts = [end - 1 for end in self.ends_of_events(case)[1:]]
        found = self.check_none_false("/again/", case, cuts)
        self.assertEqual(len(cuts), found["whole"])

    def test_streams_that_cannot_be_resumed_are_cut_where_it_shows(self):
        """Guards against a reset, or a stop in an event, taken for the end."""
        for case in _streams("close"):
            head, *ends = self.ends_of_events(case)
            cuts = {head, *self.some(length_of(case))} - set(ends)
            self.check_none_false("/once/", case, cuts)
            reset = msgspec.structs.replace(case, close="rst")
            self.check_none_false("/once/", reset, {*cuts, *ends})

    def test_plain_answers_without_framing_are_cut_where_it_shows(self):
        """Guards against a reset, or a stop in the head, taken for the end."""
        for prefix in _PLAIN:
            case = Case("close")
            self.check_none_false(prefix, case, self.some(_head_bytes(case)))
            reset = Case("close", "rst")
            self.check_none_false(prefix, reset, self.some(length_of(case)))

    def test_answers_of_killed_servers_do_not_look_whole(self):
        """Guards against the kernel's close taken for the server's."""
        for prefix in (*_PLAIN, *_STREAMS):
            events = _EVENTS if prefix in _STREAMS else 0
            case = Case("close", "kill", events=events)
            cuts = [_head_bytes(case), _head_bytes(case) + 9]
            if events:
                cuts = self.ends_of_events(case)[1:]
            self.check_none_false(prefix, case, cuts)

    def test_cut_streams_are_reset_for_callers_without_chunks(self):
        """Guards against a FIN in front of the reset that tells of a cut."""
        for case in _streams("chunks"):
            cuts = self.some(length_of(case))
            self.check_none_false("/once/", case, cuts, "1.0")
