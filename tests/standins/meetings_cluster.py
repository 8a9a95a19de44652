"""Meetings of troubles of controllers and machines."""

from __future__ import annotations

from tests.standins.machines import LEASE_S
from tests.standins.meetings_common import (
    Missing,
    asked,
    cancels,
    confirmed,
    long_jobs,
    of_jobs,
    others,
    some,
    submit,
    void,
)
from tests.standins.world import World


def zone_cut(world: World) -> Missing:
    """A zone with workers and a controller is cut off for longer than the lease."""
    clock, now, length = world.clock, world.clock.now, LEASE_S + 8.0
    world.cut_zone("a", length, clock.rng.random() < 0.5)
    inside = [
        name
        for name, worker in world.cloud.workers.items()
        if worker.row["quay"] == "a" and worker.tasks
    ]
    cancels(world, [0.5, 6.0], 2)
    return lambda: asked(
        {
            "tasks inside": bool(inside),
            "a cancellation meanwhile": bool(confirmed(world, now, now + length)),
        }
    )


def limit_and_leader(world: World) -> Missing:
    """A team is at its limit when the leader changes, machines can't be asked, and one of
    its jobs is called off."""
    clock, now = world.clock, world.clock.now
    used = sum(
        world.judge.jobs[task.partition("/")[0]]["cores"]
        for task in world.judge.on
        if world.judge.jobs[task.partition("/")[0]]["owner"] == "red"
    )
    machines = some(world, 4)
    clock.cut(set(machines), set(world.names), LEASE_S + 4.0, clock.rng.random() < 0.5)
    leader = world.leader()
    clock.after(0.5, lambda: world.nodes[leader].crash(5.0))
    jobs = sorted(
        {
            task.partition("/")[0]
            for task, places in world.judge.on.items()
            if set(places) & set(machines)
            and world.judge.jobs[task.partition("/")[0]]["owner"] == "red"
        }
    )
    for place, job in enumerate(jobs[:3]):
        clock.after(0.6 + place, lambda job=job: world.cancel(job))
    return lambda: asked(
        {
            "the team at its limit": used >= world.judge.limits["red"] - 1.0,
            "the leader changed": any(now < at < now + 8 for at, _ in world.leaders),
            "a cancellation meanwhile": bool(confirmed(world, now, now + LEASE_S + 4)),
        }
    )


def leader_ends_unreached(world: World) -> Missing:
    """A leader ends while machines with long tasks can't be reached, or don't hear the new
    leader's answers."""
    clock, now, leader = world.clock, world.clock.now, world.leader()
    machines = some(world, 6)
    clock.cut(set(machines[:3]), set(world.names), LEASE_S + 4.0, clock.rng.random() < 0.5)
    clock.cut(set(world.names), set(machines[3:]), LEASE_S + 4.0, False, one_way=True)
    clock.after(0.3, lambda: world.nodes[leader].crash(clock.rng.choice([0.4, 6.0])))
    cancels(world, [1.0, 4.0], 2)
    return lambda: asked(
        {
            "machines": len(machines) > 3,
            "the leader changed": any(now < at < now + 8 for at, _ in world.leaders),
            "a cancellation meanwhile": bool(confirmed(world, now, now + LEASE_S)),
        }
    )


def all_away(world: World) -> Missing:
    """All controllers are away for longer than the lease."""
    clock, now = world.clock, world.clock.now
    world.late_orders = 0.5
    clock.after(1.0, lambda: setattr(world, "late_orders", 0.0))
    long_jobs(world, 3, run_s=30.0)
    cancels(world, [0.1, 0.6], 2)
    for node in world.nodes.values():
        clock.after(1.0, lambda node=node: node.crash(LEASE_S + 2 + 3 * clock.rng.random()))
    sessions = {name: worker.session for name, worker in world.cloud.workers.items()}
    ran_out: list[str] = []
    clock.after(
        LEASE_S + 2.9,
        lambda: ran_out.extend(
            name
            for name, worker in world.cloud.workers.items()
            if worker.session > sessions.get(name, 1)
        ),
    )
    return lambda: asked(
        {
            "leases ran out": bool(ran_out),
            "a cancellation just before": bool(confirmed(world, now, now + 2)),
        }
    )


def late_writes(world: World) -> Missing:
    """Transactions without an answer are carried out late, after newer ones."""
    clock, now = world.clock, world.clock.now
    world.state.late_writes = 0.3
    clock.after(25.0, lambda: setattr(world.state, "late_writes", 0.0))
    cancels(world, [1.0, 4.0, 9.0, 14.0, 19.0], 1)
    clock.after(12.0, lambda: world.nodes[world.leader()].crash(0.5))
    return lambda: asked(
        {
            "one late and carried out": any(
                late.overtaken and late.status == 200 for late in world.state.late
            ),
            "one late and void": any(
                late.overtaken and late.status == 409 for late in world.state.late
            ),
            "a cancellation": bool(confirmed(world, now, now + 30)),
        }
    )


def zone_bound(world: World) -> Missing:
    """Jobs bound to one zone, arrays too, lose machines, by death, silence and a hang."""
    clock = world.clock
    for owner in ("red", "blue"):
        submit(world, crates=3, cores=2.0, together=True, run_s=30.0, owner=owner)
    bound = [
        job
        for job, spec in world.judge.jobs.items()
        if spec["quay"] or spec["together"] or spec["scatter"]
    ]
    lost: list[str] = []

    def strike(kind: str) -> None:
        machines = of_jobs(world, bound)
        if not machines:
            return
        name = clock.rng.choice(machines)
        lost.append(name)
        if kind == "die":
            world.cloud.kill(name)
        elif kind == "hang":
            world.cloud.workers[name].hang(LEASE_S + 3.0)
        else:
            clock.cut({name}, set(world.names), LEASE_S + 5.0, kind == "hold")

    for place, kind in enumerate(["die", "hold", "drop", "hang", "die", "hold"]):
        clock.after(1.0 + 3.5 * place, lambda kind=kind: strike(kind))
    cancels(world, [8.0, 16.0], 1)
    return lambda: asked({"machines lost": len(set(lost)) > 3})


def ten_leaders(world: World) -> Missing:
    """Leaders change ten times in two minutes, also inside an outage."""
    clock, now = world.clock, world.clock.now

    def end(place: int) -> None:
        leader = world.leader()
        if place % 3 == 0:
            world.state.shut_out[leader] = clock.now + 8.0
        else:
            world.nodes[leader].crash(0.3 if place % 3 == 1 else 4.0)

    for place in range(11):
        clock.after(11.0 * place, lambda place=place: end(place))
    for place in range(4):  # inside the outage, and just before its end
        clock.after(46.0 + 4 * place, lambda: world.nodes[world.leader()].crash(0.4))
    clock.after(45.0, lambda: world.state.outage(16.0))
    cancels(world, [5.0, 23.0, 44.0, 47.0, 60.0, 80.0, 100.0], 1)
    return lambda: asked(
        {
            "ten changes": sum(now < at <= now + 120 for at, _ in world.leaders) >= 10,
            "cancellations": len(confirmed(world, now, now + 120)) > 3,
        }
    )


def far_apart(world: World) -> Missing:
    """Jobs of two or three tasks end far apart across changes of leader."""
    clock, now = world.clock, world.clock.now
    jobs = [
        submit(world, crates=3, runs={0: 4.0, 1: 18.0, 2: 34.0}),
        submit(world, crates=2, runs={0: 3.0, 1: 30.0}, owner="blue", together=True),
        submit(world, crates=3, runs={0: 30.0, 1: 4.0, 2: 15.0}, scatter=True),
    ]
    for time, away in ((9.0, 0.4), (17.0, 5.0), (26.0, 0.4), (32.0, 5.0)):
        clock.after(time, lambda away=away: world.nodes[world.leader()].crash(away))
    clock.after(21.0, lambda: world.state.shut_out.update({world.leader(): clock.now + 6.0}))
    clock.after(24.0, lambda: void([world.cloud.kill(name) for name in some(world, 1)]))
    return lambda: asked(
        {
            "leaders changed": sum(now < at < now + 36 for at, _ in world.leaders) > 2,
            "their ends": all(world.judge.final.get(job, ("",))[0] == "done" for job in jobs),
        }
    )


def late_reports(world: World) -> Missing:
    """Old reports arrive after newer ones, also from an earlier session or attempt."""
    clock, now = world.clock, world.clock.now
    world.copies = 0.35
    clock.after(40.0, lambda: setattr(world, "copies", 0.0))
    first = len(world.copied)
    machines = some(world, 5)
    clock.cut(set(machines[:2]), set(world.names), LEASE_S + 3.0, False)
    world.mute.update(dict.fromkeys(machines[2:], now + LEASE_S + 3.0))
    clock.after(3.0, lambda: world.nodes[world.leader()].crash(0.5))
    clock.after(14.0, lambda: void([world.cloud.kill(name) for name in some(world, 2)]))
    clock.after(20.0, lambda: world.nodes[world.leader()].crash(6.0))
    cancels(world, [2.0, 8.0, 15.0], 1)

    return lambda: asked(
        {
            **{
                age: any(kind == age for _, _, kind in world.copied[first:])
                for age in ("session", "gone", "token")
            },
            "a cancellation": bool(confirmed(world, now, now + 20)),
        }
    )


def hand_over(world: World) -> Missing:
    """Controllers hand over and back, all end, and one returns, also within a second."""
    clock, now = world.clock, world.clock.now
    first = world.leader()
    second, third = others(world, first)
    crash = {name: world.nodes[name].crash for name in world.names}
    clock.after(0.5, lambda: crash[first](4.0))
    clock.after(15.5, lambda: crash[world.leader()](4.0))
    clock.after(21.0, lambda: crash[first](0.3))
    # All end within a fraction of a second, and one is back within a second.
    clock.after(24.0, lambda: crash[first](0.5))
    clock.after(24.1, lambda: crash[second](9.0))
    clock.after(24.3, lambda: crash[third](8.0))
    # The one that is there ends again amid its election, and so do the others.
    clock.after(25.0, lambda: crash[first](0.2))
    clock.after(34.0, lambda: crash[second](0.2))
    clock.after(34.05, lambda: crash[third](0.7))
    cancels(world, [0.4, 15.4, 20.9, 23.9, 25.6, 33.5], 1)
    return lambda: asked(
        {
            "leaders changed": sum(now < at < now + 36 for at, _ in world.leaders) > 3,
            "cancellations": len(confirmed(world, now, now + 30)) > 1,
        }
    )


def held_commands(world: World) -> Missing:
    """Commands or their answers are held up for seconds, and the machine goes on."""
    clock, now = world.clock, world.clock.now
    before = len(world.cloud.after_hang)
    world.late_orders = 0.5
    clock.after(20.0, lambda: setattr(world, "late_orders", 0.0))
    cancels(world, [1.0, 7.0, 14.0], 2, 8.0)
    clock.after(4.0, lambda: void([world.cloud.workers[name].hang(7.0) for name in some(world, 3)]))
    clock.after(5.0, lambda: world.nodes[world.leader()].crash(0.4))
    clock.after(10.0, lambda: clock.cut(set(some(world, 3)), set(world.names), 6.0, True))
    return lambda: asked(
        {
            "commands executed when it went on": any(
                status == 200 for _, status in world.cloud.after_hang[before:]
            ),
            "cancellations": len(confirmed(world, now, now + 20)) > 2,
        }
    )


def held_report(world: World) -> Missing:
    """Reports are held back until a new leader has acted, and then arrive there."""
    clock, now, leader = world.clock, world.clock.now, world.leader()
    first = len(world.copied)
    machines = some(world, 5)
    clock.after(
        0.5, lambda: clock.cut(set(machines), set(others(world, leader)), 9.0, True, one_way=True)
    )

    def copies() -> None:
        for name in machines:
            if name in world.cloud.workers:
                body = world.cloud.workers[name].body()
                for node in world.names:
                    world.late_copy(node, body, 8 + 6 * clock.rng.random())

    clock.after(0.9, copies)
    clock.after(1.0, lambda: world.nodes[leader].crash(5.0))
    clock.after(4.0, lambda: void([world.cloud.kill(name) for name in machines[:1]]))
    cancels(world, [2.0, 5.0], 2)
    return lambda: asked(
        {
            "reports arrived late": len(world.copied) > first + 5,
            "the leader changed": any(now < at < now + 8 for at, _ in world.leaders),
            "a cancellation meanwhile": bool(confirmed(world, now, now + 9)),
        }
    )


def mute(world: World) -> Missing:
    """Machines can't open connections to any controller, while commands reach them."""
    clock, now = world.clock, world.clock.now
    machines = some(world, 6)
    for place, name in enumerate(machines):
        world.mute[name] = now + (LEASE_S + 6.0 if place % 2 else 6.0)
    jobs = sorted(
        job for job, places in world.long_running().items() if set(places) & set(machines)
    )
    for place, job in enumerate(jobs[:3]):
        clock.after(1.0 + 2 * place, lambda job=job: world.cancel(job))
    clock.after(4.0, lambda: world.nodes[world.leader()].crash(0.4))
    return lambda: asked(
        {"a job there was cancelled": bool(set(jobs) & set(confirmed(world, now, now + 9)))}
    )


def new_machines(world: World) -> Missing:
    """New machines are up within two seconds and get work at once while writes lag, and the
    leader ends."""
    clock, now = world.clock, world.clock.now
    world.cloud.boot_s = (0.6, 1.4)
    world.state.slow(22.0, 0.8)
    ends: list[float] = []
    busy: set[str] = set()

    def lose(count: int) -> None:
        for name in some(world, count):
            world.cloud.kill(name)
        for owner in ("red", "blue"):
            submit(world, crates=4, run_s=12.0, owner=owner)

    def look() -> None:
        """The leader ends as soon as the newest machines have work."""
        new = {name for name, at in world.came_up.items() if at > now}
        working = {name for name in new if name in world.cloud.workers and world.tasks_on(name)}
        if working - busy and (not ends or clock.now > ends[-1] + 7.0):
            ends.append(clock.now)
            clock.after(
                0.1 + 0.4 * clock.rng.random(),
                lambda: world.nodes[world.leader()].crash(clock.rng.choice([0.4, 5.0])),
            )
        busy.update(working)
        if clock.now < now + 24.0:
            clock.after(0.05, look)

    for time in (0.0, 7.0, 14.0):
        clock.after(time, lambda: lose(4))
    look()
    cancels(world, [3.0, 10.0], 1)

    def missing() -> list[str]:
        quick = [name for name in busy if world.came_up[name] - world.cloud.rented_at[name] < 2.0]
        return asked(
            {
                "new machines within two seconds, with work": len(quick) > 3,
                "the leader changed with each": sum(now < at < now + 30 for at, _ in world.leaders)
                > 1,
                "a cancellation": bool(confirmed(world, now, now + 20)),
            }
        )

    return missing


def next_report(world: World) -> Missing:
    """Old reports reach every controller just as a new leader begins."""
    clock, now, first = world.clock, world.clock.now, len(world.copied)
    world.keep_for_next(0.25, 38.0)
    machines = some(world, 5)
    clock.cut(set(machines[:2]), set(world.names), LEASE_S + 3.0, False)
    world.mute.update(dict.fromkeys(machines[2:4], now + LEASE_S + 3.0))
    clock.after(6.0, lambda: world.nodes[world.leader()].crash(0.4))
    clock.after(8.0, lambda: void([world.cloud.kill(name) for name in some(world, 2)]))
    clock.after(13.0, lambda: world.state.shut_out.update({world.leader(): clock.now + 9.0}))
    # Sessions end between this change of leader and the one before.
    clock.after(20.0, lambda: clock.cut(set(some(world, 3)), set(world.names), 12.0, False))
    clock.after(32.5, lambda: world.nodes[world.leader()].crash(5.0))
    cancels(world, [5.8, 12.5, 32.3], 2)

    def missing() -> list[str]:
        ages = {age for at, _, age in world.copied[first:]}
        reached = {node for at, node, _ in world.copied[first:] if at < now + 12.0}
        return asked(
            {
                "every controller reached": len(reached) >= 2,
                "three leaders": sum(now < at < now + 36 for at, _ in world.leaders) > 2,
                "of a deleted machine, an earlier session and term": ages
                >= {"gone", "session", "token"},
                "cancellations": len(confirmed(world, now, now + 30)) > 2,
            }
        )

    return missing


def fill_team(world: World) -> None:
    """Work that takes one team to its limit."""
    for _ in range(5):
        submit(world, crates=5, cores=1.0, run_s=40.0)


def fill_teams(world: World) -> None:
    """Work that takes each team to its limit."""
    for owner in ("red", "blue"):
        for _ in range(7):
            submit(world, crates=5, cores=1.0, run_s=45.0, owner=owner)


def all_at_limit(world: World) -> Missing:
    """Every team is at its limit while jobs are cancelled whose machines are cut off or
    hang, and the leader changes."""
    clock, now = world.clock, world.clock.now
    most: dict[str, float] = {}

    def look() -> None:
        for team, used in world.used_cores().items():
            most[team] = max(most.get(team, 0.0), used)
        if clock.now < now + 20.0:
            clock.after(0.2, look)

    look()
    machines = some(world, 8)
    clock.cut(set(machines[:4]), set(world.names), LEASE_S + 4.0, clock.rng.random() < 0.5)
    for name in machines[4:]:
        world.cloud.workers[name].hang(7.0)
    there = sorted({task.partition("/")[0] for name in machines for task in world.tasks_on(name)})
    for place, job in enumerate(there[:6]):
        clock.after(0.4 + 0.5 * place, lambda job=job: world.cancel(job))
    cancels(world, [2.0, 6.0], 2, 8.0)
    clock.after(0.8, lambda: world.nodes[world.leader()].crash(5.0))
    clock.after(9.0, lambda: world.nodes[world.leader()].crash(0.4))
    return lambda: asked(
        {
            "each team at its limit": all(
                most.get(team, 0.0) >= limit - 1.0 for team, limit in world.judge.limits.items()
            ),
            "the leader changed": sum(now < at < now + 20 for at, _ in world.leaders) > 1,
            "their cancellations": len(set(there) & set(confirmed(world, now, now + 20))) > 3,
        }
    )


def late_commands(world: World) -> Missing:
    """Commands of a leader that has since ended or been deposed arrive after the new one's."""
    clock, now, first = world.clock, world.clock.now, len(world.commanded)
    world.late_commands = 0.4
    clock.after(32.0, lambda: setattr(world, "late_commands", 0.0))

    def depose() -> None:
        leader = world.leader()
        clock.cut({leader}, {"state", *others(world, leader)}, 9.0, False)

    for place in range(9):
        owner = "red" if place % 2 else "blue"
        clock.after(
            3.5 * place, lambda owner=owner: void(submit(world, crates=4, run_s=9.0, owner=owner))
        )
    clock.after(4.0, lambda: world.nodes[world.leader()].crash(5.0))
    clock.after(11.0, depose)
    clock.after(24.0, lambda: world.nodes[world.leader()].crash(0.4))
    clock.after(18.0, lambda: void([world.cloud.kill(name) for name in some(world, 2)]))
    cancels(world, [3.5, 10.5, 23.5], 2)

    def missing() -> list[str]:
        late = [one for one in world.commanded[first:] if one.done]
        return asked(
            {
                "one carried out": any(one.status == 200 for one in late),
                "one of a deposed leader refused": any(
                    one.deposed and one.status == 409 for one in late
                ),
                "one of a deposed leader carried out": any(
                    one.deposed and one.status == 200 for one in late
                ),
                "three leaders": sum(now < at < now + 34 for at, _ in world.leaders) > 2,
                "cancellations": len(confirmed(world, now, now + 30)) > 2,
            }
        )

    return missing
