"""Cache namespaces: engines and stores share cache only within one."""

__all__ = ["cache_namespace", "model_and_version"]


def cache_namespace(team: str, model: str, version: int) -> str:
    """Returns the cache namespace, "" if the model's version is not known.

    Args:
      team: the team, if it is isolated; "" for all others.
      version: of the model's weights, 0 if not known.
    """
    return f"{_team_part(team)}/{model}/{version}" if version else ""


def _team_part(team: str) -> str:
    """Returns a team's name as a header can carry it.

    Two names never give the same text, since one team must not read another's
    cache: what is not plain is written as hexadecimal digits behind "=".
    """
    if team.isascii() and "/" not in team and not team.startswith("="):
        return team
    return "=" + team.encode().hex()


def model_and_version(namespace: str) -> tuple[str, int]:
    """Returns the model and the version in a cache namespace, 0 for none."""
    _, _, rest = namespace.partition("/")
    model, _, version = rest.rpartition("/")
    is_number = version.isascii() and version.isdigit()
    return model, int(version) if is_number else 0
