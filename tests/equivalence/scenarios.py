"""The scenarios whose effects are compared; each is determined by its seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from tests.standins import chains, faults, meetings, sharing, spreading
from tests.standins.versions import production
from tests.standins.world import World


@dataclass(frozen=True)
class Scenario:
    """A simulated day; `run` builds its cluster on the version under test and plays it."""

    name: str
    run: Callable[[int], object]
    quick: bool = False
    """does it belong to the quick set?"""
    seed: int = 1
    """the one that is played unless others are asked for"""


SCENARIOS: dict[str, Scenario] = {}


def _add(name: str, run: Callable[[int], object], *, quick: bool = False, seed: int = 1) -> None:
    SCENARIOS[name] = Scenario(name, run, quick, seed)


# --- faults ------------------------------------------------------------------
def _faulty_day(
    *kinds: str, seconds: float = 110.0, late_orders: float = 0.0
) -> Callable[[int], object]:
    return lambda seed: faults.play(seed, *kinds, seconds=seconds, late_orders=late_orders)


_add("calm", _faulty_day(seconds=90.0), quick=True)
_add("crashes", _faulty_day("crash", "crash_all", "die"), quick=True, seed=3)
_add("cuts", _faulty_day("cut", "peers", "alone", "refuse"), quick=True, seed=4)
_add("outages", _faulty_day("outage", "shut_out", "isolate", "cloud"), quick=True, seed=6)
_add("hangs", _faulty_day("hang", "freeze", "no_workers", "late", "copies"), seed=5)
_add("deaf", _faulty_day("deaf", "copies", "repeats", late_orders=0.1), quick=True, seed=21)
_add(
    "all-faults",
    _faulty_day(
        *("deaf", "copies", "alone", "refuse", "cut", "hang", "outage", "die", "crash", "late")
    ),
    seed=26,
)


# --- chains ------------------------------------------------------------------
_add("chains", partial(chains.day, until=50.0), quick=True)
_add("chains-crashes", lambda seed: chains.day(seed, "crash", "late_writes", until=50.0), seed=2)
_add("chains-outages", lambda seed: chains.day(seed, "outage", "shut_out", "crash_all"), seed=3)


# --- troubles that meet --------------------------------------------------------
def _meeting(
    *names: str, upgrade: bool = False, pipelines: bool = False
) -> Callable[[int], object]:
    return lambda seed: meetings.play(seed, *names, upgrade=upgrade, chains=pipelines)


for _name in meetings.MEETINGS:
    _add("meeting-" + _name.replace("_", "-"), _meeting(_name))
_add("upgrade-meeting", _meeting("leader_ends_unreached", upgrade=True, pipelines=True))


# --- upgrade -----------------------------------------------------------------
def upgrade(seed: int) -> None:
    """The version in production serves first, and is replaced one controller at a time."""
    world = World(seed, code=production())
    clock, rng = world.clock, world.clock.rng
    for number in range(12):
        spec = world.spec(number)
        cancel = 5 + rng.random() * 30 if spec["shape"] == "daemon" else None
        clock.at(0.5 + rng.random() * 50, partial(world.submit, spec, cancel))
    clock.at(15.0, lambda: world.upgrade(8.0, 2.0))
    clock.at(50.0, lambda: chains.pipeline(world, 1, 1, 5.0))
    clock.run(85.0)


_add("upgrade", upgrade, quick=True)


# --- capacity shares and rebalancing -------------------------------------------
def capacity_shares(seed: int) -> None:
    """Two partitions share all machines, and their shares change under load."""
    world = sharing.Shared(seed, sharing.shares())
    world.clock.run(18.0)
    for number in range(4):
        world.job(number, "red", tasks=2)
        world.job(10 + number, "blue", tasks=2)
    world.array(20, "red", run_s=30.0, tasks=8)
    world.clock.at(40.0, lambda: world.insist(0.25, "r1"))
    world.clock.at(41.0, lambda: world.nodes[world.leader()].crash(5.0))
    world.clock.run(90.0)


def rebalancing(seed: int) -> None:
    """Machines join a few full ones, and running tasks are moved to them."""
    world = spreading.crowded(seed, spreading.rules(), arrays=3)
    world.clock.at(45.0, lambda: world.nodes[world.leader()].crash(3.0))
    world.clock.run(80.0)


_add("capacity-shares", capacity_shares, quick=True)
_add("rebalancing", rebalancing, quick=True)
