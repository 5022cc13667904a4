"""The text under which engines and stores share cache."""

__all__ = ["salt_of", "version_of"]


def salt_of(team: str, model: str, version: int) -> str:
    """Returns the salt of a model's version, "" if that is not known.

    Args:
      team: the team, if it shares with no other; "" for all others.
    """
    return f"{team}/{model}/{version}" if version else ""


def version_of(salt: str) -> tuple[str, int]:
    """Returns the model and the version of a salt, 0 if it names none."""
    _, _, rest = salt.partition("/")
    model, _, version = rest.rpartition("/")
    return model, int(version) if version.isdigit() else 0
