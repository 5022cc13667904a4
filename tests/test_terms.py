"""The code keeps to the field's terms, and its comments to reasons."""

import io
import pathlib
import re
import tokenize

from testtools import TestCase

ROOT = pathlib.Path(__file__).parents[1]
# Names of an earlier dialect; docs/GLOSSARY.md has the terms in their place.
RETIRED = frozenset(
    (
        "_doubtful",
        "_entry_book",
        "_read_again",
        "_room_s",
        "_telling",
        "asks_for_keys",
        "barbook",
        "bars",
        "beliefs",
        "blame",
        "blamebook",
        "chance_by_gaps",
        "chanceof",
        "claimnext",
        "confwatch",
        "deliver_kept",
        "desk",
        "endwatch",
        "enginebelief",
        "entrybook",
        "entryrow",
        "eventcutter",
        "follower",
        "forget_silent",
        "goes_on",
        "has_promised",
        "heard_weights",
        "hinted_out",
        "homebook",
        "homes",
        "hopeless_after_s",
        "httpcarrier",
        "import_pays",
        "in_vain",
        "is_hopeless",
        "knows_cold",
        "linkcarrier",
        "linkrate",
        "logbounds",
        "orderlease",
        "patience_s",
        "peertalk",
        "readingtime",
        "rolls_out",
        "routebook",
        "salt_of",
        "seen_engine",
        "seen_store",
        "silencewatch",
        "storebelief",
        "storebook",
        "teller",
        "turnqueue",
        "turnword",
        "unwait",
        "vain",
        "wary",
    )
)
# What tells of a run: its figures belong in docs/design.
STORIES = re.compile(
    r"\b([Tt]ried:|worth|score[ds]?|kiliprop|tiszavirag|recreo|fleetbench)\b"
)


def tokens(path):
    """Yields the tokens of a source file."""
    return tokenize.generate_tokens(io.StringIO(path.read_text()).readline)


def names_in(path):
    """Returns the identifiers of a file, in lower case."""
    return {
        token.string.lower()
        for token in tokens(path)
        if token.type == tokenize.NAME
    }


def comments_in(path):
    """Returns the comments of a file, with their lines."""
    return [
        (token.start[0], token.string)
        for token in tokens(path)
        if token.type == tokenize.COMMENT
    ]


class TermsTest(TestCase):
    """Every module of the package."""

    def setUp(self):
        super().setUp()
        self.paths = sorted((ROOT / "magnolialug").rglob("*.py"))
        self.assertGreater(len(self.paths), 200)

    def test_no_identifier_is_of_the_retired_dialect(self):
        found = [
            (str(path.relative_to(ROOT)), name)
            for path in self.paths
            for name in names_in(path) & RETIRED
        ]
        self.assertEqual([], found)

    def test_no_file_is_named_by_a_retired_word(self):
        found = [
            str(path.relative_to(ROOT))
            for path in self.paths
            if RETIRED & {path.stem, path.parent.name}
        ]
        self.assertEqual([], found)

    def test_no_comment_tells_of_a_run(self):
        found = [
            (str(path.relative_to(ROOT)), line, text)
            for path in self.paths
            for line, text in comments_in(path)
            if STORIES.search(text)
        ]
        self.assertEqual([], found)
