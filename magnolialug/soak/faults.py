"""What goes wrong in a soak: one function for each kind of fault."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from magnolialug.carrier.reader import Framing
from magnolialug.soak.idlelimits import change_idle_limit
from magnolialug.soak.leaving import announce_leaving
from magnolialug.soak.poison import (
    MARK,
    PART_MARK,
    send_again,
    send_part_again,
    some_form,
    some_prompt_form,
)
from magnolialug.soak.proxy import Path
from magnolialug.soak.restarts import (
    RESTARTS_S,
    choose_slots,
    restart_thrice,
)
from magnolialug.soak.rests import ask_for_rest
from magnolialug.soak.silences import silence_endpoints
from magnolialug.soak.slot import Slot
from magnolialug.soak.slowengines import slow_for_good, slow_in_spells
from magnolialug.soak.unreadable import unreadable_entries
from magnolialug.standin.endpoint import Fault
from magnolialug.standin.modelserver import BreakOff

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["FAULTS"]

# An endpoint is replaced by one of another version this long after the one
# before it, so that both versions serve for a while.
_RELEASE_STEP_S = 1.5
_STREAM_FRAMINGS = (Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE)
# Requests per second that an endpoint in need accepts.
_LIMITS_PER_S = (0.0, 0.5, 2.0, 6.0)
# For this long an endpoint serves on after its entry is removed: longer than a
# cut and the time until a machine is held to what it could have known since.
_SERVES_ON_S = 8.0
# What is served before a flood is what it is compared with.
_BETWEEN_FLOODS_S = 4.0
# A machine that has lost a watch and a call is up to date again by then.
_CATCH_UP_S = 3.0
# By then the entries of endpoints that have ended are gone.
_BETWEEN_RESTARTS_S = 4.0
_CUTS = (Path.HELD, Path.DEAF, Path.MUTE, Path.REFUSED)


def _for_s(soak: "Soak", least: float, most: float) -> float:
    return soak.random.uniform(least, most)


def pause_machine(soak: "Soak") -> None:
    """A process stands still and wakes again."""
    machine = soak.some_machine()
    for_s = _for_s(soak, 0.2, 4.0)
    machine.disturb(for_s)
    machine.pause()
    soak.later(for_s, machine.resume)


def kill_machine(soak: "Soak") -> None:
    """A process is killed, and started again at once."""
    machine = soak.some_machine()
    machine.disturb(1.0)
    machine.kill()


def kill_many(soak: "Soak") -> None:
    """All processes are killed at the same moment."""
    for machine in soak.machines:
        machine.disturb(1.0)
        machine.kill()


def stop_machine(soak: "Soak") -> None:
    """A process is told to end; it takes its time, and is started again."""
    soak.some_machine().stop()


def stop_in_turn(soak: "Soak") -> None:
    """All processes are told to end, one after the other."""
    for number, machine in enumerate(soak.machines):
        soak.later(number * 1.2, machine.stop)


def hang_up(soak: "Soak") -> None:
    """A process's settings change."""
    machine = soak.some_machine()
    machine.write_settings(soak.random.choice((0.2, 0.15)))
    machine.hang_up()


def cut_from_store(soak: "Soak") -> None:
    """One machine loses the key-value service."""
    machine = soak.some_machine()
    for_s = _for_s(soak, 0.3, 4.0)
    machine.disturb(for_s)
    proxy = soak.kv_proxies[machine.number]
    proxy.opens(soak.random.choice(_CUTS))
    soak.later(for_s, proxy.opens, Path.OPEN)


def silence_store(soak: "Soak") -> None:
    """A machine's open connections to the service are silent for good."""
    machine = soak.some_machine()
    machine.disturb()
    soak.kv_proxies[machine.number].silence(soak.random)


def reset_store(soak: "Soak") -> None:
    """All connections to the key-value service are reset."""
    for machine in soak.machines:
        machine.disturb()
        soak.kv_proxies[machine.number].reset(soak.random)


def slow_store(soak: "Soak") -> None:
    """The key-value service takes its time."""
    for_s = _for_s(soak, 0.5, 3.0)
    soak.world.disturb_store(for_s)
    for proxy in soak.kv_proxies:
        proxy.delay_s = _for_s(soak, 0.05, 0.3)
        soak.later(for_s, setattr, proxy, "delay_s", 0.0)


def store_down(soak: "Soak") -> None:
    """The service answers nothing, or refuses all."""
    for_s = _for_s(soak, 0.5, 4.0)
    soak.world.disturb_store(for_s)
    fault = soak.random.choice(("down", "refusing", "deaf_watches"))
    faults = soak.world.kv.faults
    setattr(faults, fault, True)
    soak.later(for_s, setattr, faults, fault, False)


def store_lapse(soak: "Soak") -> None:
    """Entries of endpoints run out while the service is down."""
    for_s = _for_s(soak, 1.0, 3.0)
    world = soak.world
    world.disturb_store(for_s + 2.0)
    world.kv.faults.down = True
    soak.later(for_s, setattr, world.kv.faults, "down", False)
    for slot in world.slots:
        if slot.endpoint is not None and soak.random.random() < 0.5:
            key = f"servers/{slot.endpoint.instance}"
            soak.later(for_s / 2, world.remove, key)
            back_s = for_s + _for_s(soak, 0.1, 1.5)
            soak.later(back_s, soak.relist, slot, slot.endpoint)


def store_forgets(soak: "Soak") -> None:
    """The service drops its history and cuts the watches."""
    soak.world.kv.forget()
    soak.world.kv.end_watches()


def store_loses_answers(soak: "Soak") -> None:
    """Writes are done and not answered."""
    soak.world.disturb_store(1.0)
    soak.world.kv.faults.lose_answers += soak.random.randint(1, 4)


def store_loses_catch_ups(soak: "Soak") -> None:
    """Watches are lost while the configuration changes, and the next calls."""
    if soak.now < soak.catching_up_until:
        # Calls that are lost again and again are an outage of the service.
        return
    soak.catching_up_until = soak.now + _CATCH_UP_S
    kv = soak.world.kv
    kv.faults.lose_catch_ups = len(soak.machines)
    soak.random.choice((kv.lose_watches, kv.end_watches))()
    soak.world.configure()


def store_nonsense(soak: "Soak") -> None:
    """Keys hold what nobody can read, or are gone."""
    key = soak.random.choice(("magnolialug/orders/holder", "servers/i-odd"))
    soak.world.write(key, b"\xff{nonsense")
    soak.later(_for_s(soak, 0.5, 2.0), soak.world.remove, key)


def bad_answers(soak: "Soak") -> None:
    """An endpoint's next answers are broken, for a while."""
    slot = soak.some_slot()
    slot.faulty_until = soak.now + 6.0
    faults = [f for f in Fault if f is not Fault.NONE]
    number = soak.random.randint(1, 6)
    if slot.service == "llm":
        slot.endpoint.stop_after += soak.random.choices((1, 2, 3), k=number)
        soak.later(4.0, slot.endpoint.stop_after.clear)
        faults = [Fault.SHED, Fault.MUTE, Fault.ERROR]
    slot.endpoint.faults += soak.random.choices(faults, k=number)
    soak.later(4.0, slot.endpoint.faults.clear)


def break_off_streams(soak: "Soak") -> None:
    """An engine's streams get another framing; some end inside an event."""
    slots = soak.world.runs_of("llm")
    if not slots:
        return
    slot = soak.random.choice(slots)
    slot.faulty_until = soak.now + 6.0
    engine = slot.endpoint
    engine.framing = soak.random.choice(_STREAM_FRAMINGS)
    engine.break_off = soak.random.choice(list(BreakOff))
    engine.in_event = True
    number = soak.random.randint(1, 6)
    engine.stop_after += soak.random.choices((1, 2, 3), k=number)
    soak.later(4.0, engine.stop_after.clear)


def crash_endpoint(soak: "Soak") -> None:
    """An endpoint dies; a fresh one comes, maybe of another service."""
    slot = soak.some_slot()
    if len(soak.world.runs_of(slot.service)) < 2:
        return
    slot.faulty_until = soak.now + 8.0
    soak.world.crash(slot)
    service = soak.random.choice(("", "", "desk", "llm"))
    back_s = 2.2 if service else _for_s(soak, 0.2, 2.0)
    soak.later(back_s, soak.world.revive, slot, service)


def harmful_request(soak: "Soak") -> None:
    """A caller sends again and again what ends each endpoint that begins it."""
    if soak.now < soak.poisoned_until:
        # Two at once leave no endpoint up for long, and so show little.
        return
    body = MARK + soak.new_id().encode()
    soak.poisoned_until = soak.now + _for_s(soak, 7.0, 9.0)
    send_again(soak, body, some_form(soak), soak.poisoned_until)


def harmful_part(soak: "Soak") -> None:
    """A caller sends prompts with a part that crashes each engine."""
    if soak.now < soak.poisoned_until:
        return
    part = f"{PART_MARK}{soak.new_id()}"
    # Five crashes and the time to know of them come first.
    soak.poisoned_until = soak.now + _for_s(soak, 10.0, 12.0)
    form, place = some_prompt_form(soak), soak.random.randrange(3)
    send_part_again(soak, part, form, place, soak.poisoned_until)


def flood_machine(soak: "Soak") -> None:
    """Most new connections go to one machine, and callers open many."""
    if soak.now >= soak.flood.until + _BETWEEN_FLOODS_S:
        front = soak.random.choice(soak.fronts)
        soak.flood.begin(front, _for_s(soak, 5.0, 8.0))


def restart_endpoint(soak: "Soak") -> None:
    """An endpoint starts again under its id, and knows nothing of before."""
    slot = soak.some_slot()
    slot.faulty_until = soak.now + 8.0
    soak.world.start_again(slot)


def restart_part_store(soak: "Soak") -> None:
    """The store of cache parts starts again within one epoch."""
    store = soak.world.part_store
    store.parts.clear()
    store.start_again(store.born_ms + 1)


def foreign_entries(soak: "Soak") -> None:
    """Somebody else writes rows that name no endpoint to use."""
    row = soak.some_slot().row
    value = soak.random.choice(
        (
            b"\xff",
            b"[]",
            {**row, "state": "resting"},
            {**row, "service": "unheard-of"},
            {**row, "slots": "6"},
            {"service": row["service"], "address": row["address"]},
        )
    )
    soak.world.write("servers/i-odd", value)
    soak.later(_for_s(soak, 0.5, 2.0), soak.world.remove, "servers/i-odd")


def drain_endpoint(soak: "Soak") -> None:
    """An endpoint leaves in order; a fresh one comes."""
    slot = soak.some_slot()
    if len(soak.world.runs_of(slot.service)) < 2 or slot.leaving_at:
        return
    soak.world.drain(slot)
    soak.later(4.0, soak.replace, slot, slot.endpoint)


def release_software(soak: "Soak") -> None:
    """Some engines are replaced in turn by engines of another version."""
    world = soak.world
    slots = world.runs_of("llm")
    if soak.now < soak.releasing_until or len(slots) < 2:
        # Releases that overlap leave hardly an engine that stays.
        return
    replaced = soak.random.sample(slots, soak.random.randint(1, len(slots) - 1))
    soak.releasing_until = soak.now + _RELEASE_STEP_S * (len(replaced) + 1)
    world.software = f"v{soak.new_id()}"
    for number, slot in enumerate(replaced):
        soak.later(number * _RELEASE_STEP_S, _leave_for_release, soak, slot)


def _leave_for_release(soak: "Soak", slot: Slot) -> None:
    others = len(soak.world.runs_of(slot.service)) > 1
    if slot.endpoint is not None and others and not slot.leaving_at:
        soak.world.drain(slot)
        soak.later(_RELEASE_STEP_S, soak.replace, slot, slot.endpoint)


def leave_unannounced(soak: "Soak") -> None:
    """An endpoint leaves, and only its entry's removal tells of it."""
    slot = soak.some_slot()
    if len(soak.world.runs_of(slot.service)) < 2 or slot.leaving_at:
        return
    soak.world.unlist(slot)
    soak.later(_SERVES_ON_S, soak.replace, slot, slot.endpoint)


def evacuate_zone(soak: "Soak") -> None:
    """A zone is evacuated, and taken back with cold endpoints."""
    zones = soak.world.zones
    zone = soak.random.choice("ab")
    for_s = _for_s(soak, 1.0, 9.0)
    if zones.evacuated(zone):
        return
    soak.world.evacuate(zone)
    soak.later(for_s, soak.world.take_back, zone)


def limit_endpoint(soak: "Soak") -> None:
    """An endpoint names how many requests a second it accepts."""
    slot = soak.some_slot()
    rates = soak.random.sample(_LIMITS_PER_S, 2)
    for_s = _for_s(soak, 4.0, 12.0)
    if slot.endpoint.send_limit is not None:
        return
    soak.world.limit(slot, rates[0])
    soak.later(for_s / 2, soak.change_limit, slot, slot.endpoint, rates[1])
    soak.later(for_s, soak.world.end_limit, slot.endpoint)


def cut_endpoint(soak: "Soak") -> None:
    """The way to an endpoint is cut, or its connections are lost."""
    slot = soak.some_slot()
    for_s = _for_s(soak, 0.3, 3.0)
    slot.faulty_until = soak.now + for_s + 4.0
    act = soak.random.choice(("path", "reset", "silence", "delay"))
    if act == "reset":
        slot.proxy.reset(soak.random)
    elif act == "silence":
        slot.proxy.silence(soak.random)
    elif act == "delay":
        slot.proxy.delay_s = _for_s(soak, 0.05, 0.5)
        soak.later(for_s, setattr, slot.proxy, "delay_s", 0.0)
    else:
        slot.proxy.opens(soak.random.choice(_CUTS))
        soak.later(for_s, soak.reopen, slot)


def cut_callers(soak: "Soak") -> None:
    """Callers' connections to a machine are reset, held or slow."""
    machine = soak.some_machine()
    proxy = soak.fronts[machine.number].proxy
    for_s = _for_s(soak, 0.2, 1.5)
    machine.disturb(for_s)
    act = soak.random.choice(("reset", "held", "delay"))
    if act == "reset":
        proxy.reset(soak.random, 0.5)
    elif act == "held":
        proxy.opens(soak.random.choice((Path.HELD, Path.DEAF, Path.MUTE)))
        soak.later(for_s, proxy.opens, Path.OPEN)
    else:
        proxy.delay_s = _for_s(soak, 0.02, 0.2)
        soak.later(for_s, setattr, proxy, "delay_s", 0.0)


def change_config(soak: "Soak") -> None:
    """The operator writes a new configuration."""
    soak.world.configure()


def name_weights(soak: "Soak") -> None:
    """The operator names new weights; an order may be carried out late."""
    for slot in soak.world.runs_of("llm"):
        if soak.random.random() < 0.2:
            slot.endpoint.late_orders += [_for_s(soak, 2.0, 5.0)]
    soak.world.name_weights()


def part_store(soak: "Soak") -> None:
    """The store of cache parts returns empty, is silent, or cut."""
    act = soak.random.choice(("restart", "mute", "cut"))
    store, proxy = soak.world.part_store, soak.world.part_proxy
    for_s = _for_s(soak, 0.3, 3.0)
    if act == "restart":
        store.restart()
    elif act == "mute":
        store.mute = True
        soak.later(for_s, setattr, store, "mute", False)
    else:
        proxy.opens(soak.random.choice(_CUTS))
        soak.later(for_s, proxy.opens, Path.OPEN)


def crowd(soak: "Soak") -> None:
    """Callers hurry, or leave early, for a while."""
    act = soak.random.choice(("hurried", "impatient"))
    for client in soak.clients:
        setattr(client, act, True)
        soak.later(2.0, setattr, client, act, False)


def wave_of_long_prompts(soak: "Soak") -> None:
    """Long prompts come beside the short ones, for a while."""
    soak.long_prompts.begin(_for_s(soak, 2.0, 4.0))


def slow_engine(soak: "Soak") -> None:
    """An engine becomes a little slower, for good."""
    slow_for_good(soak.random, soak.engines)


def slow_spells(soak: "Soak") -> None:
    """An engine is much slower for several moments."""
    slow_in_spells(soak.random, soak.engines, soak.later)


def restart_several(soak: "Soak") -> None:
    """Endpoints give their address to new ones at once, three times."""
    if soak.now < soak.restarting_until:
        # Restarts without end show only that there is no endpoint left.
        return
    soak.restarting_until = soak.now + RESTARTS_S + _BETWEEN_RESTARTS_S
    up = [slot for slot in soak.world.slots if slot.endpoint is not None]
    chosen = choose_slots(soak.random, up)
    restart_thrice(chosen, soak.restart, soak.later)


FAULTS: dict[str, Callable[["Soak"], None]] = {
    act.__name__: act
    for act in (
        pause_machine,
        kill_machine,
        kill_many,
        stop_machine,
        stop_in_turn,
        hang_up,
        cut_from_store,
        silence_store,
        reset_store,
        slow_store,
        store_down,
        store_lapse,
        store_forgets,
        store_loses_answers,
        store_loses_catch_ups,
        store_nonsense,
        bad_answers,
        break_off_streams,
        crash_endpoint,
        harmful_request,
        harmful_part,
        flood_machine,
        restart_endpoint,
        restart_part_store,
        foreign_entries,
        drain_endpoint,
        release_software,
        leave_unannounced,
        evacuate_zone,
        limit_endpoint,
        cut_endpoint,
        cut_callers,
        change_config,
        name_weights,
        part_store,
        crowd,
        silence_endpoints,
        change_idle_limit,
        announce_leaving,
        ask_for_rest,
        wave_of_long_prompts,
        slow_engine,
        slow_spells,
        restart_several,
        unreadable_entries,
    )
}
