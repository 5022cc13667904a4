"""What goes wrong in a measured run."""

from magnolialug.measure.actors import QUEUE, SLOTS
from magnolialug.measure.world import World
from magnolialug.policy.attemptqueue import AttemptQueue
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, failed

__all__ = ["change_version", "kill", "leave", "restart", "silence"]

_LOST_S = 1.0


def kill(world: World, name: str) -> None:
    """Ends a sidecar; what it ran and queued is lost."""
    sidecar = world.sidecars[name]
    sidecar.alive = False
    lost = [*sidecar.running.values(), *sidecar.unstarted()]
    sidecar.running.clear()
    sidecar.lineup = AttemptQueue(QUEUE, SLOTS)
    for entry in world.entries:
        entry.members.down(name)
    for ticket in lost:
        world.loop.after(
            _LOST_S,
            world.ended,
            sidecar,
            ticket,
            Ending.LOST,
            failed(Code.OUTCOME_UNKNOWN),
        )


def restart(world: World, name: str) -> None:
    """Brings a sidecar back with no memory."""
    world.sidecars[name].alive = True
    for entry in world.entries:
        entry.views[name].epoch += 1
        world.tell_status(entry, world.sidecars[name])


def leave(world: World, name: str) -> None:
    """Drains an endpoint; the list names it for ever after."""
    sidecar = world.sidecars[name]
    sidecar.draining_since = world.loop.now
    for ticket in sidecar.unstarted():
        why = failed(Code.DRAINING)
        world.ended(sidecar, ticket, Ending.NOT_RUN, why)
    for entry in world.entries:
        world.tell_status(entry, sidecar)


def silence(world: World, name: str, seconds: float) -> None:
    """Lets nothing through to an endpoint until heartbeats notice."""
    world.sidecars[name].deaf_until = world.loop.now + seconds


def change_version(world: World) -> None:
    """New requests use new weights and so none of the old cache."""
    world.version = "v2"
