"""Meetings of troubles with what users ask: many requests at once, and cancellations."""

from __future__ import annotations

from tests.standins.meetings_common import (
    OUTAGE_S,
    Missing,
    asked,
    cancels,
    confirmed,
    others,
    owned,
    some,
    submit,
    void,
)
from tests.standins.world import World


def slow_then_out(world: World) -> Missing:
    """The state service answers slowly, refuses the leader alone and then everybody for
    longer than `cancel_s`, while users cancel and ask."""
    clock, now = world.clock, world.clock.now
    world.state.slow(6.0, 1.6)
    clock.after(4.0, lambda: world.state.shut_out.update({world.leader(): clock.now + 6.0}))
    clock.after(9.0, lambda: world.state.outage(OUTAGE_S))
    cancels(world, [0.5, 2.0, 4.2, 6.0, 8.8], 1)
    return lambda: asked({"cancellations": len(confirmed(world, now, now + 10)) > 1})


def apart_leader(world: World) -> Missing:
    """The leader is cut from the state service and the other controllers while workers and
    users still reach it, and jobs are cancelled through the new one."""
    clock, now, leader = world.clock, world.clock.now, world.leader()
    world.loyal = 0.4
    clock.cut({leader}, {"state", *others(world, leader)}, 26.0, clock.rng.random() < 0.5)
    clock.after(26.0, lambda: setattr(world, "loyal", 0.0))
    theirs = owned(world, leader)
    cancelled: list[str] = []
    for time in (0.3, 1.5, 4.0, 8.0):
        clock.after(time, lambda: cancelled.extend(world.cancel_now(2)))
    return lambda: asked(
        {
            "machines of the old leader": bool(theirs),
            "another leader": any(
                now < at < now + 20 and not who.startswith(leader) for at, who in world.leaders
            ),
            "cancellations through others": bool(confirmed(world, now, now + 20)),
        }
    )


def gap_at_once(world: World) -> Missing:
    """Jobs are cancelled at the very moment at which the state service refuses the leader
    alone, and a second later it is out for longer than `cancel_s`."""
    clock, now, leader = world.clock, world.clock.now, world.leader()
    world.state.shut_out[leader] = now + 14.0
    cancels(world, [0.0, 0.4, 0.7], 2)
    clock.after(1.0, lambda: world.state.outage(OUTAGE_S))
    return lambda: asked({"cancellations": bool(confirmed(world, now, now + 1.2))})


def more_than_room(world: World) -> Missing:
    """More work than room, urgent and not, over slow links."""
    clock, rng = world.clock, world.clock.rng
    clock.slow_links(set(world.cloud.workers) | {f"n{rng.randint(0, 2)}"}, 40.0, 0.8)
    waiting: list[int] = []
    for place in range(10):
        clock.after(
            2.5 * place,
            lambda place=place: void(
                submit(
                    world,
                    crates=rng.randint(2, 8),
                    cores=rng.choice([1.0, 2.0]),
                    rank=["best_effort", "urgent", "standard"][place % 3],
                    run_s=5 + 8 * rng.random(),
                    owner=rng.choice(["red", "blue"]),
                    stow_s=rng.choice([0.0, 3.0]),
                    lash_s=1.5,
                )
            ),
        )
    clock.after(12.0, lambda: void(submit(world, shape="daemon", crates=2, cores=4.0)))
    cancels(world, [10.0, 20.0, 30.0], 1)
    clock.after(
        25.0,
        lambda: waiting.append(
            sum(node.runs.queue_length(node.engine) for node in world.nodes.values())
        ),
    )
    return lambda: asked({"work waits": bool(waiting and waiting[0] > 3)})


def at_the_end(world: World) -> Missing:
    """A cancellation, a question or a repeat meets the end of a job's last task. The state
    service takes a tenth of a second then, which is no trouble."""
    clock, rng, first = world.clock, world.clock.rng, len(world.at_ends)
    world.state.slow(40.0, 0.1)
    world.at_end, world.poll_s = 1.0, 0.7
    clock.after(40.0, lambda: setattr(world, "at_end", 0.0))
    for place in range(24):
        clock.after(
            1.2 * place,
            lambda: void(
                submit(
                    world,
                    crates=rng.randint(1, 2),
                    run_s=2 + 3 * rng.random(),
                    owner=rng.choice(["red", "blue"]),
                )
            ),
        )

    def missing() -> list[str]:
        ends = world.at_ends[first:]
        states = {
            world.judge.final[job][0]
            for kind, job in ends
            if kind == "cancel" and job in world.judge.final
        }
        return asked(
            {
                "enough": len(ends) > 15,
                "all kinds": len({k for k, _ in ends}) == 3,
                "both outcomes": states == {"done", "withdrawn"},
            }
        )

    return missing


# --- the gap, in all its forms ----------------------------------------------
def gap(world: World, late_s: float = 0.0) -> Missing:
    """The state service refuses the leader alone; others confirm cancellations; then it is
    out for all for longer than `cancel_s`, while workers report to the old leader."""
    clock, now, leader = world.clock, world.clock.now, world.leader()
    world.state.shut_out[leader] = now + 14.0
    clock.after(2.0 + late_s, lambda: world.state.outage(OUTAGE_S))
    cancels(world, [0.8, 1.2, 1.6], 2)
    theirs = owned(world, leader)
    return lambda: asked(
        {
            "cancellations between refusal and outage": bool(confirmed(world, now, now + 2.2)),
            "workers of the old leader": bool(theirs),
        }
    )


def gap_very_second(world: World) -> Missing:
    """Cancellations in the very second of the refusal and of the outage."""
    clock, now = world.clock, world.clock.now
    missing = gap(world)
    jobs = sorted(set(world.long_running()) - world.called_off)[-9:]
    world.called_off.update(jobs)
    for time, job in zip((0.0, 0.003, 0.02, 0.1, 1.9, 1.95, 1.98, 1.99, 1.995), jobs, strict=False):
        clock.after(time, lambda job=job: world.cancel(job))
    return lambda: (
        missing()
        + asked(
            {
                "at the refusal": bool(confirmed(world, now, now + 0.7)),
                "at the outage": bool(confirmed(world, now + 1.9, now + 2.3)),
            }
        )
    )


def gap_launch(world: World) -> Missing:
    """Launches are in flight when their jobs are cancelled."""
    clock, now = world.clock, world.clock.now
    late = world.late_orders = 1.0
    jobs: list[str] = []

    def start() -> None:
        jobs.extend(
            submit(world, owner=owner, run_s=300.0, cores=0.5, crates=3)
            for owner in ("red", "blue", "red", "blue")
        )

    start()
    missing: list[Missing] = []
    clock.after(0.7, lambda: missing.append(gap(world)))
    for place, job in enumerate(jobs):
        clock.after(1.6 + 0.2 * place, lambda job=job: world.cancel(job))
    clock.after(9.0, lambda: setattr(world, "late_orders", 0.0))
    return lambda: (
        missing[0]()
        + asked(
            {
                "launches held": bool(late),
                "their cancellations": bool(set(jobs) & set(confirmed(world, now, now + 3.0))),
            }
        )
    )


def gap_silent(world: World) -> Missing:
    """A third controller never sees the cancellations, since its watch gets nothing."""
    now, leader = world.clock.now, world.leader()
    third = others(world, leader)[1]
    world.state.silent[third] = now + 2.5
    return gap(world)


def gap_restart(world: World) -> Missing:
    """Controllers restart inside the outage: they cannot load."""
    clock, leader = world.clock, world.leader()
    second, third = others(world, leader)
    clock.after(5.0, lambda: world.nodes[third].crash(0.3))
    clock.after(8.0, lambda: world.nodes[second].crash(0.4))
    if clock.rng.random() < 0.5:
        clock.after(12.0, lambda: world.nodes[leader].crash(0.4))
    return gap(world)


def gap_hang(world: World) -> Missing:
    """Machines hang across it, and go on within their lease."""
    clock = world.clock
    missing = gap(world)
    cancels(world, [1.3], 2, 8.0)
    clock.after(1.0, lambda: void([world.cloud.workers[name].hang(9.0) for name in some(world, 4)]))
    clock.after(
        14.0, lambda: void([world.cloud.workers[name].hang(9.0) for name in some(world, 4)])
    )
    return missing


# --- answers and what is newer than they are ----------------------------------
def close_looks(world: World) -> Missing:
    """Users ask at all nodes within milliseconds after jobs were accepted, ended or
    cancelled, and submit them again; the watch of one node gets nothing for a while."""
    clock, rng, now, first = world.clock, world.clock.rng, world.clock.now, len(world.looks)
    world.close_looks = 1.0
    clock.after(38.0, lambda: setattr(world, "close_looks", 0.0))
    world.state.slow(38.0, 0.1)
    for place in range(16):
        clock.after(
            2.0 * place,
            lambda: void(
                submit(
                    world,
                    rng.choice([None, 2.5]),
                    crates=rng.randint(1, 2),
                    run_s=2 + 3 * rng.random(),
                    owner=rng.choice(["red", "blue"]),
                )
            ),
        )
    for time in (4.0, 16.0, 27.0):
        clock.after(
            time,
            lambda: world.state.silent.update({rng.choice(world.names): clock.now + 5.0}),
        )
    clock.after(11.0, lambda: world.nodes[world.leader()].crash(0.4))
    cancels(world, [5.0, 18.0, 29.0], 1)

    def missing() -> list[str]:
        after = [what for what, _ in world.looks[first:]]
        return asked(
            {
                f"looks after `{what}`": after.count(what) > 4
                for what in ("accepted", "last task", "done", "withdrawn")
            }
            | {"cancelled at once": len(confirmed(world, now, now + 38)) > 4}
        )

    return missing


def lost_answers(world: World) -> Missing:
    """Transactions are carried out at once and only their answers are lost, while others
    read what they wrote."""
    clock, now, first = world.clock, world.clock.now, len(world.state.lost)
    world.state.lost_answers, world.close_looks = 0.25, 0.5
    clock.after(30.0, lambda: setattr(world.state, "lost_answers", 0.0))
    clock.after(30.0, lambda: setattr(world, "close_looks", 0.0))
    for place in range(10):
        owner = "red" if place % 2 else "blue"
        clock.after(
            2.5 * place, lambda owner=owner: void(submit(world, crates=3, run_s=6.0, owner=owner))
        )
    clock.after(12.0, lambda: world.nodes[world.leader()].crash(0.5))
    cancels(world, [1.0, 4.0, 9.0, 14.0, 19.0], 1)

    def missing() -> list[str]:
        lost = [one for one in world.state.lost[first:] if one.status == 200]
        read = [key for one in lost if one.read_by for key in one.keys]
        return asked(
            {
                "carried out without an answer": len(lost) > 10,
                "jobs read by others": sum(key.startswith("ad/live/jobs/") for key in read) > 3,
                "cancellations": len(confirmed(world, now, now + 30)) > 2,
            }
        )

    return missing


def changing_hands(world: World) -> Missing:
    """Jobs are cancelled in the seconds in which one controller's work changes hands: it
    restarts, ends, loses its workers, and is cut off."""
    clock, now = world.clock, world.clock.now
    third = others(world, world.leader())[1]
    node, rest = world.nodes[third], set(others(world, third))
    machines = owned(world, third)
    terms: list[int] = []
    called: list[str] = []
    clock.after(0.5, lambda: node.crash(0.4))
    clock.after(7.0, lambda: node.crash(5.0))
    clock.after(16.0, lambda: void(clock.cut({third}, set(world.cloud.workers), 10.0, True)))
    clock.after(27.0, lambda: void(clock.cut({third}, {"state", *rest}, 9.0, False)))

    def call_off() -> None:
        view, running = world.view(), world.long_running(12.0)
        if view is None:
            return
        terms.append(view.term)
        theirs = [job for job in sorted(running) if set(running[job]) & machines]
        for job in (theirs or sorted(running))[:1]:
            called.append(job)
            world.called_off.add(job)
            world.cancel(job)

    for begin in (0.4, 7.0, 18.5, 27.5):
        for step in range(4):
            clock.after(begin + 0.6 * step, call_off)
    return lambda: asked(
        {
            "machines of its own": bool(machines),
            "work changed hands": len(set(terms)) > 3,
            "their cancellations": len(set(called) & set(confirmed(world, now, now + 38))) > 7,
        }
    )


STREAM_S, STREAM_RPS = 60.0, 4.0


def job_stream(world: World) -> Missing:
    """One-task jobs come four a second, a quarter of them are cancelled, and the leader
    ends once."""
    clock, rng, now = world.clock, world.clock.rng, world.clock.now
    jobs: list[str] = []

    def one() -> None:
        jobs.append(
            submit(
                world,
                3.0 * rng.random() if len(jobs) % 4 == 0 else None,
                crates=1,
                cores=0.5,
                run_s=1 + 2 * rng.random(),
                owner=rng.choice(["red", "blue"]),
                cargo="img-0",
                berth="one",
            )
        )

    for place in range(int(STREAM_S * STREAM_RPS)):
        clock.after(place / STREAM_RPS, one)
    clock.after(STREAM_S / 2, lambda: world.nodes[world.leader()].crash(0.4))

    def missing() -> list[str]:
        states = [world.judge.final.get(job, ("", 0.0))[0] for job in jobs]
        return asked(
            {
                "a quarter cancelled": states.count("withdrawn") > 0.15 * len(jobs),
                "the rest done": states.count("done") > 0.7 * len(jobs),
                "the leader changed": any(now < at < now + STREAM_S for at, _ in world.leaders),
            }
        )

    return missing
