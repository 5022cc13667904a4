"""magnolialug-gateway: passes callers' requests on, on the platform."""

from magnolialug.cmd.hangup import HANGUPS

__all__ = ["run"]


def run() -> None:
    """Runs the program; see --help."""
    HANGUPS.hold()
    # The imports take most of the start.
    from magnolialug.cmd.gatewayprogram import main

    main()


if __name__ == "__main__":
    run()
