"""magnolialug-ctl: what operators do with a deployment's configuration."""

import getpass
import secrets
import sys
import time

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from magnolialug.carrier.client import Client, parse_address
from magnolialug.cmd.flagset import (
    COMMON,
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    Flag,
    Group,
    parse,
)
from magnolialug.config.deployment import from_text, hash_key, to_text
from magnolialug.config.folder import read_folder
from magnolialug.confstore import Head, apply_text, read_doc, read_head
from magnolialug.ctl.account import account, as_tables
from magnolialug.ctl.accountplot import draw_account
from magnolialug.ctl.diff import differences
from magnolialug.ctl.endpoints import endpoint_lines, known_leaving
from magnolialug.ctl.explain import explain_request
from magnolialug.ctl.fleetstatus import ask_entry, ask_sidecars
from magnolialug.ctl.limits import standing_limits
from magnolialug.ctl.preview import preview_lines
from magnolialug.ctl.quarantine import quarantine_lines, release
from magnolialug.ctl.rests import standing_rests
from magnolialug.events import setup_logging
from magnolialug.platform.http import HttpClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Code, Failure

__all__ = ["run"]

_SUMMARY = """operates a deployment's configuration

  validate FOLDER   check a folder; every error in one pass
  plan FOLDER       what would change, and the base version to apply on
  apply FOLDER      put it in force on --base_version
  show              the configuration in force
  history           accepted changes, the newest first
  status            the version in force in every process
  endpoints         the registered endpoints, and what keeps work from them;
                    what only their answers say with --gateway_log
  quarantine        requests that endpoints crashed under, and which those
                    were
  release DIGEST    take a request out of the quarantine
  explain REQUEST   how a request was decided, from JSON logs on stdin
  preview NAME=VALUE ...
                    where a gateway would send a request now, and why,
                    without sending it; with --gateway
  account           how calls ended, what made answers late, where their
                    time went, and what was read again and why, from JSON
                    logs on stdin
  hash-key          the hash of a bearer key read from stdin"""

_GROUPS = (
    Group(
        "Control",
        (
            Flag("kv_url", "str", "", "URL of the key-value service"),
            Flag(
                "base_version",
                "int",
                -1,
                "version the change was made from; -1 for the one in force",
            ),
            Flag(
                "change_id",
                "str",
                "",
                "id of the change; give the same when trying again",
            ),
            Flag("entries", "str", "", "URLs of entries, for status"),
            Flag("gateway", "str", "", "URL of a gateway's metrics port"),
            Flag(
                "format",
                ("text", "json"),
                "text",
                "form of a preview",
            ),
            Flag("plot", "str", "", "file to draw an account into"),
            Flag(
                "gateway_log",
                "str",
                "",
                "JSON logs of gateways, for endpoints; - for stdin",
            ),
        ),
    ),
    COMMON,
)


class _Command:
    """One run of the program against the key-value service."""

    def __init__(self, flags):
        self._flags = flags
        self._http = HttpClient(reactor, Code.KV_TIMEOUT)
        self._kv = KvHttp(
            Client(reactor), parse_address(flags.kv_url), timeout_s=3.0
        )

    async def run(self, name: str, arguments: list[str]) -> int:
        """Runs a command against the key-value service."""
        if name == "endpoints":
            return await self._print_endpoints()
        if name == "quarantine":
            return _print_lines(await quarantine_lines(self._kv))
        if name == "preview":
            flags = self._flags
            return _print_lines(
                await preview_lines(
                    reactor, flags.gateway, arguments, flags.format
                )
            )
        if name == "release":
            failure = await release(self._kv, arguments[0])
            return _fail(failure) if failure else 0
        return await self._run_on_head(name, arguments)

    async def _print_endpoints(self) -> int:
        """Prints the endpoints, with what the logs tell of them."""
        path = self._flags.gateway_log
        try:
            lines = _read_lines(path) if path else []
        except (OSError, UnicodeDecodeError) as exc:
            print(
                f"magnolialug-ctl: --gateway_log: {path}: {exc}",
                file=sys.stderr,
            )
            return EXIT_BAD_INPUT
        found = await endpoint_lines(
            self._kv,
            standing_limits(lines),
            standing_rests(lines),
            known_leaving(lines),
        )
        return _print_lines(found)

    async def _run_on_head(self, name: str, arguments: list[str]) -> int:
        """Runs a command on the head that is in force."""
        texts = [_folder_text(folder) for folder in arguments]
        if None in texts:
            return EXIT_BAD_INPUT
        head = await read_head(self._kv)
        if isinstance(head, Failure):
            return _fail(head)
        if name == "history":
            return _print_history(head)
        if name == "apply":
            return await self._apply(head, texts[0])
        old = await self._text_of(head)
        if isinstance(old, Failure):
            return _fail(old)
        if name == "plan":
            return _print_plan(head, old, texts[0])
        if name == "status":
            return await self._status(head, old)
        print(old)
        return 0

    async def _apply(self, head: Head, text: str) -> int:
        """Puts a text in force, or prints the winner's difference."""
        base = self._flags.base_version
        base = head.version if base < 0 else base
        change_id = self._flags.change_id or secrets.token_hex(8)
        change = await apply_text(
            self._kv, text, base, change_id, getpass.getuser(), time.time
        )
        if not isinstance(change, Failure):
            print(f"version {change.version}, change id {change.change_id}")
            return 0
        print(f"change id {change_id}", file=sys.stderr)
        if change.code is Code.CONFIG_CONFLICT:
            await self._print_winner(text)
        return _fail(change)

    async def _print_winner(self, text: str) -> None:
        head = await read_head(self._kv)
        old = head if isinstance(head, Failure) else await self._text_of(head)
        if not isinstance(old, Failure):
            _print_plan(head, old, text)

    async def _status(self, head: Head, text: str) -> int:
        """Prints which processes are behind."""
        rows = await ask_sidecars(reactor, from_text(text)) if text else []
        for url in filter(None, self._flags.entries.split(",")):
            rows.append(await ask_entry(self._http, url))
        behind = 0
        print(f"in force: {head.version}")
        for row in rows:
            late = row.version < head.version
            behind += late
            mark = "behind" if late else "ok"
            print(f"{row.name} {row.version} {mark} {row.note}".rstrip())
        return EXIT_FAILED if behind else 0

    async def _text_of(self, head: Head) -> str | Failure:
        if not head.changes:
            return ""
        doc = await read_doc(self._kv, head.changes[0])
        return doc if isinstance(doc, Failure) else doc.text


def _print_plan(head: Head, old: str, text: str) -> int:
    print(f"base version {head.version}")
    for difference in differences(old, text):
        print(difference)
    return 0


def _print_lines(lines: list[str] | Failure) -> int:
    if isinstance(lines, Failure):
        return _fail(lines)
    for line in lines:
        print(line)
    return 0


def _print_history(head: Head) -> int:
    for change in head.changes:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.at))
        print(
            f"{change.version} {at} {change.author} {change.change_id}"
            f" {change.digest}"
        )
    return 0


def _fail(failure: Failure) -> int:
    print(
        f"{failure.code.value} {failure.code.name}: {failure.reason}"
        f" ({failure.field} {failure.value})",
        file=sys.stderr,
    )
    return EXIT_FAILED


def _folder_text(folder: str) -> str | None:
    read = read_folder(folder)
    if not isinstance(read, list):
        return to_text(read)
    for problem in read:
        print(problem, file=sys.stderr)
    return None


def _validate(folder: str) -> int:
    return EXIT_BAD_INPUT if _folder_text(folder) is None else 0


def _read_lines(path: str) -> list[str]:
    """Returns the lines of a file, or of standard input for "-"."""
    if path == "-":
        return list(sys.stdin)
    with open(path, encoding="utf-8") as log:
        return list(log)


def _account(plot: str) -> int:
    found = account(sys.stdin)
    print(as_tables(found))
    if plot:
        draw_account(found, plot)
    return 0 if found.endings else EXIT_FAILED


def _explain(request_id: str) -> int:
    story = explain_request(sys.stdin, request_id)
    print("\n".join(story))
    return 0 if story else EXIT_FAILED


def _hash_key() -> int:
    print(hash_key(sys.stdin.readline().strip()))
    return 0


def _on_reactor(work) -> int:
    exits = [EXIT_FAILED]

    def done(code: int) -> None:
        exits[0] = code

    def failed_(reason) -> None:
        reason.printTraceback(file=sys.stderr)

    def begin() -> None:
        fut = ensureDeferred(work)
        fut.addCallbacks(done, failed_)
        fut.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    return exits[0]


_OFFLINE = {"validate": _validate, "explain": _explain, "hash-key": _hash_key}
_ARGUMENTS = {"validate": 1, "plan": 1, "apply": 1, "explain": 1, "release": 1}
_ONLINE = (
    "plan",
    "apply",
    "show",
    "history",
    "status",
    "endpoints",
    "quarantine",
    "release",
    "preview",
)


def run() -> None:
    """Runs the program; see --help."""
    flags, rest = parse("magnolialug-ctl", _SUMMARY, _GROUPS)
    setup_logging(flags.log_format, flags.log_level)
    name, *arguments = rest or [""]
    known = {*_OFFLINE, *_ONLINE, "account"}
    count = _ARGUMENTS.get(name, 0)
    if name not in known or (name != "preview" and len(arguments) != count):
        print(
            f"magnolialug-ctl: bad command {' '.join(rest)!r}; see --help",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_INPUT)
    if name == "account":
        sys.exit(_account(flags.plot))
    if name in _OFFLINE:
        sys.exit(_OFFLINE[name](*arguments))
    command = _Command(flags)
    sys.exit(_on_reactor(command.run(name, arguments)))
