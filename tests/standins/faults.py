"""Days of the simulated cluster under seeded faults."""

from __future__ import annotations

from functools import partial

from tests.standins.world import World


def play(
    seed: int, *faults: str, seconds: float = 150.0, jobs: int = 14, late_orders: float = 0.0
) -> World:
    """One simulated day: jobs in the first minute, faults until 90 s, then peace."""
    world = World(seed)
    clock, rng = world.clock, world.clock.rng
    for number in range(jobs):
        spec = world.spec(number)
        cancel = (
            5 + rng.random() * 50 if (spec["shape"] == "daemon" or rng.random() < 0.3) else None
        )
        clock.at(0.5 + rng.random() * 60, partial(world.submit, spec, cancel))
    for time in range(8, 90, 6):
        for fault in faults:
            if rng.random() < 0.6:
                clock.at(time + rng.random() * 5, partial(strike, world, fault))
    world.late_orders = late_orders
    if "copies" in faults:
        world.copies = 0.1
    if "repeats" in faults:
        world.repeats = 0.3
    if "late" in faults:
        world.late = world.late_orders = 0.04
        clock.at(90, lambda: setattr(world, "late", 0.0))
    clock.run(seconds)
    return world


def strike(world: World, fault: str) -> None:
    clock, rng = world.clock, world.clock.rng
    node = rng.choice(world.names)
    machines = sorted(world.cloud.workers)
    match fault:
        case "crash":
            world.nodes[node].crash(rng.choice([0.2, 5.0]))
        case "crash_all" if rng.random() < 0.3:
            for each in world.nodes.values():
                each.crash(3 + 4 * rng.random())
        case "cut" if machines:
            some = set(rng.sample(machines, min(len(machines), 3)))
            apart = set(world.names) if rng.random() < 0.5 else {node}
            clock.cut(some, apart, 2 + rng.random() * 25, rng.random() < 0.7)
        case "peers":
            clock.cut({node}, set(world.names) - {node}, 15 * rng.random(), rng.random() < 0.5)
        case "refuse":
            world.refuse_peers(15 * rng.random())
        case "deaf" if machines:
            clock.cut(
                set(world.names),
                set(rng.sample(machines, min(len(machines), 2))),
                2 + rng.random() * 25,
                rng.random() < 0.5,
                one_way=True,
            )
        case "alone":
            clock.cut(
                {node},
                {"state", *(n for n in world.names if n != node)},
                5 + 30 * rng.random(),
                rng.random() < 0.5,
            )
        case "isolate":
            clock.cut({node}, {"state"}, 20 * rng.random(), True)
        case "outage" if rng.random() < 0.4:
            world.state.outage(3 + 12 * rng.random())
        case "shut_out":
            world.state.shut_out[node] = clock.now + 20 * rng.random()
        case "cloud":
            world.cloud.out_until = clock.now + 10 * rng.random()
        case "die" if machines:
            world.cloud.kill(rng.choice(machines))
        case "freeze":
            world.nodes[node].freeze(2 + 20 * rng.random(), rng.random() < 0.5)
        case "no_workers" if machines:
            clock.cut({node}, set(machines), 5 + 25 * rng.random(), rng.random() < 0.7)
        case "hang" if machines:
            world.cloud.workers[rng.choice(machines)].hung_until = clock.now + 14 * rng.random()
