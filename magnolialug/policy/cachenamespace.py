"""Cache namespaces: engines and stores share cache only within one."""

__all__ = ["cache_namespace", "model_and_version"]


def cache_namespace(team: str, model: str, version: int) -> str:
    """Returns the cache namespace, "" if the model's version is not known.

    Args:
      team: the team, if it is isolated; "" for all others.
      version: of the model's weights, 0 if not known.
    """
    return f"{team}/{model}/{version}" if version else ""


def model_and_version(namespace: str) -> tuple[str, int]:
    """Returns the model and the version in a cache namespace, 0 for none."""
    _, _, rest = namespace.partition("/")
    model, _, version = rest.rpartition("/")
    return model, int(version) if version.isdigit() else 0
