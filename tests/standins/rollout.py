"""Rollouts into which troubles fall: an earlier version serves when the day begins, and its
controllers come back new one after the other."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from tests.standins.chains import pipeline, spec
from tests.standins.deployment import NEXT
from tests.standins.versions import Code, production, under_test
from tests.standins.world import World

ROLL_AT, EVERY_S, AWAY_S = 20.0, 8.0, 2.0
"""s; when the first controller is taken away, how much later each next one, how long"""
LAST_BACK = ROLL_AT + 2 * EVERY_S + AWAY_S
PEACE_AT, ENDS_AT = 95.0, 185.0
Trouble = Callable[[World], None]


def _format_key() -> str:
    """The key under which the format of records in use is stored."""
    return under_test().key_prefix("FORMAT")


def play(
    seed: int,
    trouble: Trouble,
    announced: dict[str, Any] | None = NEXT,
    before: Code | None = None,
) -> World:
    """A day with arrays, services, cancellations, the trouble and, afterwards, pipelines.
    `before`: the version that serves first, if not the one in production."""
    world = World(seed, code=before or production(), announced=announced)
    clock, rng = world.clock, world.clock.rng
    for number in range(14):
        one = world.spec(number)
        cancel = 5 + rng.random() * 40 if one["shape"] == "daemon" or rng.random() < 0.3 else None
        clock.at(0.5 + rng.random() * 60, partial(world.submit, one, cancel))
    trouble(world)
    for number in range(3):
        clock.at(
            70.0 + 4 * number,
            partial(pipeline, world, number, 1 if number == 2 else None, 6.0),
        )
    clock.at(PEACE_AT, world.peace)
    clock.run(ENDS_AT)
    return world


def replace(world: World, name: str, away_s: float = AWAY_S) -> None:
    """The controller ends, and comes back new."""
    world.nodes[name].code = under_test()
    world.nodes[name].crash(away_s)


def roll(world: World) -> None:
    """The rollout as operators mean it to be."""
    world.clock.at(ROLL_AT, lambda: world.upgrade(EVERY_S, AWAY_S))


def record_written(world: World, key: str, then: Callable[[], None]) -> None:
    """Do something as soon as the state service has the record."""
    if key in world.state.rows:
        then()
    else:
        world.clock.after(0.01, lambda: record_written(world, key, then))


def arranged(world: World, happened: Callable[[], object]) -> None:
    """At the end of the troubles, what a play is about must have happened."""

    def check() -> None:
        assert happened()

    world.clock.at(PEACE_AT, check)


# --- troubles ----------------------------------------------------------------
def killed_again_in_the_election(world: World) -> None:
    """Each one, just back, and the leader end within a fraction of a second, before a
    view without them is agreed on; each then comes back within another fraction."""
    roll(world)
    for place, name in enumerate(world.names):
        back = ROLL_AT + place * EVERY_S + AWAY_S
        world.clock.at(back + 0.1, lambda: world.nodes[world.leader()].crash(0.7))
        world.clock.at(back + 0.25, partial(world.nodes[name].crash, 0.4))
        world.clock.at(back + 0.8, partial(world.nodes[name].crash, 0.2))


def back_with_the_old_version(world: World) -> None:
    """The last one comes back old, after the others are new and its lease is over; then a
    new one, too, is taken back to the old version, before all are replaced."""
    clock, (first, second, third) = world.clock, world.names
    clock.at(ROLL_AT, lambda: replace(world, first))
    clock.at(ROLL_AT + 4, lambda: replace(world, second))
    clock.at(ROLL_AT + 7, lambda: world.nodes[third].crash(15.0))
    for number in range(800, 804):
        one = {**spec(world, f"job-{number:06d}", "long", [], False), "crates": 4, "run_s": 25.0}
        clock.at(ROLL_AT + 10, partial(world.submit, one))

    def old_again() -> None:
        world.nodes[second].code = world.code
        world.nodes[second].crash(AWAY_S)

    clock.at(ROLL_AT + 26, old_again)
    clock.at(ROLL_AT + 33, lambda: replace(world, second))
    clock.at(ROLL_AT + 39, lambda: replace(world, third))


def _end_all(world: World) -> None:
    for node in world.nodes.values():
        node.crash(1 + 3 * world.clock.rng.random())


def all_down_with_mixed_versions(world: World) -> None:
    """Twice all end at once while one of them, and then two, are new."""
    roll(world)
    for time in (ROLL_AT + AWAY_S + 2, ROLL_AT + EVERY_S + AWAY_S + 2):
        world.clock.at(
            time,
            partial(_end_all, world),
        )


def trouble_at_the_gate(world: World) -> None:
    """The state service answers slowly while the last one comes back, and then not at all,
    from the moment on at which the new format is recorded."""
    roll(world)
    world.clock.at(LAST_BACK - 1, lambda: world.state.slow(10.0, 1.5))
    record_written(world, _format_key(), lambda: world.state.outage(10.0))


def the_gate_has_no_answer(world: World) -> None:
    """The record of the new format is written, its writer is not answered, and ends; the
    write that came before it was lost."""
    roll(world)
    seen: list[str] = []
    request = world.state.request

    def lossy(node: str, method: str, path: str, body: bytes, answer: Any) -> None:
        if method == "POST" and f'"set":"{_format_key()}"'.encode() in body.replace(b" ", b""):
            seen.append(node)
            if len(seen) == 1:
                return
            if len(seen) == 2:
                request(node, method, path, body, lambda *_: None)
                world.clock.after(0.2, lambda: world.nodes[node].crash(1.0))
                return
        request(node, method, path, body, answer)

    world.state.request = lossy  # type: ignore[method-assign]
    arranged(world, lambda: len(seen) > 1)


def limits_fall_before_all_are_new(world: World) -> None:
    """Two are new, the leader ends, the limits fall in the election, then users call off
    what runs, in an outage. Records that the old version made are too large from then on."""
    roll(world)
    for number in range(700, 703):
        one = {**spec(world, f"job-{number:06d}", "big", [], False), "crates": 6, "run_s": 25.0}
        one["hulls"] = ["h4", *(f"type-{other:04d}" for other in range(220))]
        world.clock.at(2.0 + number % 7 * 4, partial(world.submit, one))
    at = ROLL_AT + 2 * EVERY_S - 2
    world.clock.at(at, lambda: world.nodes[world.leader()].crash(3.0))
    world.clock.at(at + 0.1, lambda: world.state.lower(**NEXT))
    world.clock.at(at + 0.5, lambda: world.cancel_now(6))
    world.clock.at(at + 1.0, lambda: world.state.outage(7.0))
    arranged(world, lambda: world.called_off)


def away_while_the_gate_opened(world: World) -> None:
    """The last one joins and is cut off from everybody at once, so that it does not hear of
    the gate; back, it owns jobs in the new format. Another one ends before, and comes back
    when the gate is open."""
    roll(world)
    unaware: list[bool] = []

    def cut_off() -> None:
        world.clock.cut({world.names[2]}, {"state", *world.names[:2]}, 9.0, False)

    def ends() -> None:
        last = world.nodes[world.names[2]]
        unaware.append(last.runs.format_in_use(last.engine) == 1)
        world.nodes[next(n for n in world.names[:2] if n != world.leader())].crash(6.0)

    world.clock.at(LAST_BACK + 0.05, cut_off)
    record_written(world, _format_key(), ends)
    arranged(world, lambda: unaware == [True])


def everything_together(world: World) -> None:
    """Machines that hear no commands, late copies of reports, and a controller without
    state service and peers, but with its workers, all through the rollout."""
    roll(world)
    clock = world.clock
    world.copies = 0.15

    def deaf() -> None:
        machines = sorted(world.cloud.workers)
        some = set(clock.rng.sample(machines, min(3, len(machines))))
        clock.cut(set(world.names), some, 9.0, clock.rng.random() < 0.5, one_way=True)

    def alone(name: str) -> None:
        clock.cut({name}, {"state", *(n for n in world.names if n != name)}, 11.0, False)

    for place, name in enumerate(world.names):
        back = ROLL_AT + place * EVERY_S + AWAY_S
        clock.at(back - 1, deaf)
        clock.at(back + 1, partial(alone, name))
        clock.at(back + 3, lambda: world.cancel_now(2))
    arranged(world, lambda: world.copied and world.called_off)


TROUBLES: list[Trouble] = [
    killed_again_in_the_election,
    back_with_the_old_version,
    all_down_with_mixed_versions,
    trouble_at_the_gate,
    the_gate_has_no_answer,
    limits_fall_before_all_are_new,
    away_while_the_gate_opened,
    everything_together,
]
