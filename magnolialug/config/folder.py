"""Reads a configuration folder; reports every error in one pass."""

import pathlib
import re
import tomllib

import msgspec

from magnolialug.config.deployment import Deployment
from magnolialug.config.option import REQUIRED, check
from magnolialug.config.schema import SECTIONS, Section
from magnolialug.result import Code, Failure, failed

__all__ = ["Problem", "read_folder"]

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")


class Problem(msgspec.Struct, frozen=True):
    """One thing wrong with a folder: the file and what is wrong in it."""

    file: str
    failure: Failure

    def __str__(self) -> str:
        failure = self.failure
        return (
            f"{self.file}: {failure.code.value} {failure.code.name}:"
            f" {failure.field}: {failure.reason} (value: {failure.value})"
        )


class _Merge:
    """The merged tree, with the file that each field came from."""

    def __init__(self) -> None:
        self.tree: dict = {}
        self.origin: dict[str, str] = {}
        self.problems: list[Problem] = []

    def add(self, file: str, data: dict) -> None:
        """Merges one file over those before it."""
        override = data.pop("override", [])
        form_ok = isinstance(override, list) and all(
            isinstance(path, str) for path in override
        )
        if not form_ok:
            self.report(
                file,
                failed(
                    Code.BAD_CONFIG_TYPE,
                    "must be a list of strings",
                    "override",
                    override,
                ),
            )
            override = []
        unused = set(override)
        self._walk(file, self.tree, data, "", override, unused)
        for path in sorted(unused):
            self.report(
                file,
                failed(
                    Code.BAD_CONFIG_OVERRIDE,
                    "overrides nothing that an earlier file set",
                    "override",
                    path,
                ),
            )

    def report(self, file: str, failure: Failure) -> None:
        """Adds a problem."""
        self.problems.append(Problem(file, failure))

    def file_of(self, path: str) -> str:
        """Returns the file that a field or table came from."""
        while path and path not in self.origin:
            path = path.rpartition(".")[0]
        return self.origin.get(path, "(folder)")

    def _walk(self, file, into, data, prefix, override, unused) -> None:
        for name, value in data.items():
            path = f"{prefix}{name}"
            if isinstance(value, dict):
                table = into.setdefault(name, {})
                self.origin.setdefault(path, file)
                if isinstance(table, dict):
                    self._walk(file, table, value, f"{path}.", override, unused)
                    continue
            if name in into and not self._allowed(path, override, unused):
                self.report(
                    file,
                    failed(
                        Code.BAD_CONFIG_OVERRIDE,
                        f"already set in {self.file_of(path)}",
                        path,
                        value,
                    ),
                )
                continue
            into[name] = value
            self.origin[path] = file

    def _allowed(self, path: str, override: list, unused: set) -> bool:
        for given in override:
            if path == given or path.startswith(f"{given}."):
                unused.discard(given)
                return True
        return False


def read_folder(folder: str) -> Deployment | list[Problem]:
    """Reads, merges and checks the *.toml files of a folder.

    Args:
      folder: its path; files are merged in the order of their names.

    Returns:
      the deployment, or every problem found.
    """
    merge = _Merge()
    for path in sorted(pathlib.Path(folder).glob("*.toml")):
        try:
            data = tomllib.loads(path.read_text(encoding="utf-8"))
        except (tomllib.TOMLDecodeError, UnicodeDecodeError, OSError) as exc:
            merge.report(
                path.name,
                failed(Code.BAD_CONFIG_SYNTAX, str(exc), "(file)", path.name),
            )
            continue
        merge.add(path.name, data)
    if not merge.origin and not merge.problems:
        merge.report(
            folder, failed(Code.CONFIG_MISSING, "no *.toml file", "(folder)")
        )
    tree = _checked(merge)
    if not merge.problems:
        _check_meaning(merge, tree)
    if merge.problems:
        return merge.problems
    return msgspec.convert(tree, Deployment)


def _checked(merge: _Merge) -> dict:
    for name in sorted(set(merge.tree) - set(SECTIONS)):
        merge.report(
            merge.file_of(name),
            failed(
                Code.BAD_CONFIG_FIELD,
                "no such section",
                name,
                merge.tree[name],
            ),
        )
    return {
        name: _section(merge, section, merge.tree.get(name, {}), name)
        for name, section in SECTIONS.items()
    }


def _section(merge: _Merge, section: Section, data: object, path: str):
    if not isinstance(data, dict):
        merge.report(
            merge.file_of(path),
            failed(Code.BAD_CONFIG_TYPE, "must be a table", path, data),
        )
        return {}
    if not section.named:
        return _item(merge, section, data, path)
    items = {}
    for name, item in data.items():
        where = f"{path}.{name}"
        if not _NAME.fullmatch(name):
            merge.report(
                merge.file_of(where),
                failed(
                    Code.BAD_CONFIG_VALUE,
                    "names are lower-case letters, digits and hyphens",
                    where,
                    name,
                ),
            )
            continue
        items[name] = _item(merge, section, item, where)
    return items


def _item(merge: _Merge, section: Section, data: object, path: str) -> dict:
    if not isinstance(data, dict):
        merge.report(
            merge.file_of(path),
            failed(Code.BAD_CONFIG_TYPE, "must be a table", path, data),
        )
        return {}
    known = {option.name for option in section.options} | set(section.children)
    for name in sorted(set(data) - known):
        merge.report(
            merge.file_of(f"{path}.{name}"),
            failed(
                Code.BAD_CONFIG_FIELD,
                "no such field",
                f"{path}.{name}",
                data[name],
            ),
        )
    item = {}
    for option in section.options:
        where = f"{path}.{option.name}"
        value = _option(merge, option, data, where)
        item[option.name] = value
    for name, child in section.children.items():
        where = f"{path}.{name}"
        item[name] = _section(merge, child, data.get(name, {}), where)
    return item


def _option(merge: _Merge, option, data: dict, path: str):
    if option.name not in data:
        if option.default is REQUIRED:
            merge.report(
                merge.file_of(path),
                failed(Code.BAD_CONFIG_FIELD, "is missing", path),
            )
            return None
        return option.default
    value = check(option, path, data[option.name])
    if isinstance(value, Failure):
        merge.report(merge.file_of(path), value)
        return None
    named = value if isinstance(value, list) else [value]
    for name in named if option.names else ():
        if name not in merge.tree.get(option.names, {}):
            merge.report(
                merge.file_of(path),
                failed(
                    Code.BAD_CONFIG_REFERENCE,
                    f"no such item in {option.names}",
                    path,
                    name,
                ),
            )
    return value


def _check_meaning(merge: _Merge, tree: dict) -> None:
    owners: dict[str, str] = {}
    for name, team in tree["teams"].items():
        path = f"teams.{name}.key_hashes"
        for key in team["key_hashes"]:
            problem = _key_problem(key, owners.get(key))
            if problem:
                merge.report(
                    merge.file_of(path),
                    failed(Code.BAD_CONFIG_VALUE, problem, path, key),
                )
            owners[key] = name
    models: dict[str, str] = {}
    for name, service in tree["services"].items():
        path = f"services.{name}"
        _check_service(merge, path, service)
        for model in service["models"]:
            if model in models:
                merge.report(
                    merge.file_of(path),
                    failed(
                        Code.BAD_CONFIG_VALUE,
                        f"model also offered by {models[model]}",
                        f"{path}.models",
                        model,
                    ),
                )
            models[model] = name


def _check_service(merge: _Merge, path: str, service: dict) -> None:
    if not service["kinds"]:
        merge.report(
            merge.file_of(path),
            failed(Code.BAD_CONFIG_FIELD, "is missing", f"{path}.kinds"),
        )
    defaults = [n for n, kind in service["kinds"].items() if kind["default"]]
    if service["type"] == "model" and len(defaults) != 1:
        merge.report(
            merge.file_of(path),
            failed(
                Code.BAD_CONFIG_VALUE,
                "exactly one kind of a model service has default = true",
                f"{path}.kinds",
                defaults,
            ),
        )


def _key_problem(key: str, owner: str | None) -> str:
    if not _KEY_HASH.fullmatch(key):
        return "must be 64 hex digits, as magnolialug-ctl hash-key prints"
    if owner is not None:
        return f"key already belongs to team {owner}"
    return ""
