"""Capacity shares by themselves: the file, whole machines by shares, and who holds what.

The policy is driven by drawn histories against the plainest model of the rule: a machine never
works for two partitions at once, whatever is agreed meanwhile.
"""

from __future__ import annotations

import json
import math
import random
import tomllib
from pathlib import Path
from typing import Any

import jsonschema
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from appledock import constants as c
from appledock.capacity.apportion import apportion
from appledock.capacity.assignment import MachineUse, next_owners
from appledock.capacity.history import (
    HistoryError,
    HistoryRow,
    HistoryWriter,
    read_rows,
    summary_rows,
)
from appledock.capacity.lending import SurplusTracker, lend_surplus
from appledock.capacity.ownership import Ownership, OwnershipBucket, bucket_of, decode_bucket
from appledock.capacity.settings import Capacity, CapacityError, Partition, Pool, parse
from appledock.cli import main
from tests.standins.deployment import settings as deployed
from tests.standins.deployment import settings_file
from tests.test_rebalancing import spec

SETTINGS = deployed("n0", ["n0", "n1", "n2"])
GOOD = """
[[pools]]
name = "all"
[[partitions]]
name = "sealing"
teams = ["red"]
controller = "n1"
floor = 0.2
[partitions.shares]
all = 0.5
[[partitions]]
name = "rest"
[partitions.shares]
all = 0.5
"""
POOL = '[[pools]]\nname = "all"\n'


def partition(name: str = "p", share: float = 1.0, more: str = 'teams = ["red"]') -> str:
    return f'[[partitions]]\nname = "{name}"\n{more}\nshares = {{ all = {share} }}\n'


BAD = [
    ('colour = "red"', "unknown field `colour`"),
    ("", "missing required field `pools`"),
    (POOL, "missing required field `partitions`"),
    ("pools = []\npartitions = []", "length >= 1 - at `$.pools`"),
    (POOL + partition(share=0.9), "the shares of pool 'all' add up to 0.9, not to 1"),
    (POOL + partition("a", 0.6) + partition("b", 0.6, 'teams = ["blue"]'), "add up to 1.2"),
    (POOL + partition(share=-0.1), "Expected `float` >= 0.0"),
    (POOL + partition(more='teams = ["pink"]'), "unknown team 'pink'"),
    (POOL + partition(more='teams = ["red"]\ncontroller = "n9"'), "unknown controller 'n9'"),
    (POOL + partition(more=""), "teams or classes are needed"),
    (POOL.replace("all", "x") + partition(), "unknown pool 'all'; known are x"),
    (POOL + 'zones = ["z"]\n' + partition(), "unknown zone 'z'"),
    (
        POOL + partition("a", 0.5, 'classes = ["x"]') + partition("b", 0.5, 'classes = ["x"]'),
        "class 'x' is named 2 times",
    ),
    (POOL + partition("a", 0.5) + partition("b", 0.5), "team 'red' is named 2 times"),
    (POOL + POOL + partition(), "pool 'all' is named 2 times"),
    (POOL + partition(more='teams = ["red"]\nfloor = 1.5'), "Expected `float` <= 1"),
    (
        POOL
        + partition("a", 0.5, 'teams = ["red"]\nfloor = 0.6')
        + partition("b", 0.5, 'teams = ["blue"]\nfloor = 0.6'),
        "the floors together are above the whole",
    ),
    (
        POOL
        + partition("a", 0.1, 'teams = ["red"]\nfloor = 0.2')
        + partition("b", 0.9, 'teams = ["blue"]'),
        "0.1 is below its floor of 0.2",
    ),
    ("pools = ", "Invalid value"),
]


@pytest.mark.parametrize(("text", "said"), BAD, ids=[said for _, said in BAD])
def test_a_wrong_file_ends_the_program_with_one_precise_line(
    text: str, said: str, tmp_path: Path
) -> None:
    with pytest.raises(CapacityError) as error:
        parse(text.encode(), SETTINGS)
    assert said in str(error.value) and "\n" not in str(error.value)
    platform, file = tmp_path / "settings.json", tmp_path / "capacity.toml"
    platform.write_bytes(settings_file("n0", ["n0", "n1", "n2"]))
    file.write_text(text)
    for start in (["check", str(platform)], ["run", "--config", str(platform)]):
        result = CliRunner().invoke(main, [*start, "--capacity", str(file)])
        assert result.exit_code == 2 and result.stderr.count("\n") == 1
        assert str(file) in result.stderr
    file.write_text(GOOD)
    check = ["check", str(platform), "--capacity", str(file)]
    assert CliRunner().invoke(main, check).exit_code == 0


def test_a_job_belongs_to_the_partition_of_its_class_then_of_its_team_then_to_the_rest() -> None:
    capacity = Capacity(
        pools=[Pool("cheap", spot=True), Pool("b", zones=["b"]), Pool("h8", types=["h8"])],
        partitions=[
            Partition("by-class", classes=["svc"]),
            Partition("by-team", teams=["red"]),
            Partition("rest"),
        ],
    )
    assert capacity.partition_of(spec(1)) == "by-class"
    assert capacity.partition_of(spec(1, job_class="arr")) == "by-team"
    assert capacity.partition_of(spec(1, job_class="arr", team="blue")) == "rest"
    assert (
        Capacity(capacity.pools, capacity.partitions[:2]).partition_of(
            spec(1, job_class="arr", team="blue")
        )
        is None
    )
    assert capacity.pool_of("h4", "b", True) == "cheap"
    assert capacity.pool_of("h4", "b", False) == "b"
    assert capacity.pool_of("h4", "a", False) is None


# --- whole machines ----------------------------------------------------------
parts = st.lists(st.integers(0, 20), min_size=1, max_size=5).filter(any)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(machines=st.integers(0, 60), weights=parts)
def test_all_machines_are_given_out_by_largest_remainder(machines: int, weights: list[int]) -> None:
    shares = {f"p{n}": weight / sum(weights) for n, weight in enumerate(weights)}
    counts = apportion(machines, shares)
    entitled = [name for name, share in shares.items() if share > 0]
    assert sum(counts.values()) == machines
    assert all(counts[name] == 0 for name in shares if name not in entitled)
    if machines < len(entitled):
        assert set(counts.values()) <= {0, 1}
        return
    assert all(counts[name] >= 1 for name in entitled)
    if all(machines * shares[name] >= 1 for name in entitled):
        assert all(abs(counts[name] - machines * shares[name]) < 1 for name in entitled)


def test_pools_of_nobody_and_of_nothing() -> None:
    assert apportion(5, {"a": 0.0}) == {"a": 0}
    assert apportion(0, {"a": 1.0}) == {"a": 0}
    assert next_owners([], {"a": 0}) == {}
    assert next_owners([MachineUse("m", None)], {}) == {}


def by_shares(uses: list[MachineUse], shares: dict[str, float]) -> dict[str, Ownership]:
    return next_owners(uses, apportion(len(uses), shares))


needs = st.dictionaries(st.sampled_from("abc"), st.integers(0, 12))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(target=st.fixed_dictionaries({n: st.integers(0, 8) for n in "abc"}), need=needs)
def test_loans_are_made_of_what_is_spare_and_of_nothing_else(
    target: dict[str, int], need: dict[str, int]
) -> None:
    result = lend_surplus(target, need, {"a", "b"})
    assert sum(result.values()) == sum(target.values())
    for name, machines in target.items():
        wanted = need.get(name, 0)
        assert result[name] >= min(machines, max(1, wanted)), "a lender in need comes first"
        assert result[name] <= max(machines, wanted), "nobody borrows what it does not need"
    assert result["c"] >= target["c"], "it is not ready to lend"
    spare = any(result[n] > max(1, need.get(n, 0)) and result[n] <= target[n] for n in "ab")
    lacks = any(result[n] < need.get(n, 0) for n in "abc")
    assert not (spare and lacks)


def test_only_what_was_spare_for_a_while_is_lent() -> None:
    tracker = SurplusTracker(15.0)
    target = {"a": 4, "b": 4}
    assert tracker.update(0.0, target, {"a": 1, "b": 9}) == set()
    assert tracker.update(10.0, target, {"a": 4, "b": 9}) == set()
    assert tracker.update(14.0, target, {"a": 1, "b": 9}) == set(), "busy again meanwhile"
    assert tracker.update(28.0, target, {"a": 1, "b": 9}) == set()
    assert tracker.update(30.0, target, {"a": 1, "b": 9}) == {"a"}


# --- drawn histories ---------------------------------------------------------
class Model:
    """Machines, tasks that start where the records allow it, and a leader that looks now and
    then; starts are under way for a while, and fail if the record has changed meanwhile."""

    def __init__(self, seed: int, names: list[str]) -> None:
        self.rng = random.Random(seed)
        self.names = names
        self.machines: dict[str, Ownership | None] = {}
        self.version: dict[str, int] = {}
        self.tasks: dict[str, list[str]] = {}
        self.starts: list[tuple[str, str, int]] = []
        """machine, partition, and the version that the start is conditional on"""
        self.shares = {name: 1 / len(names) for name in names}
        self.hands = 0

    def join(self, name: str) -> None:
        self.machines[name], self.version[name], self.tasks[name] = None, 0, []

    def turn(self, leads: bool = True) -> None:
        rng = self.rng
        for machine, ownership in self.machines.items():
            if ownership is not None and not ownership.is_being_handed_over and rng.random() < 0.4:
                self.starts.append((machine, ownership.partition, self.version[machine]))
        while self.starts and rng.random() < 0.7:
            machine, partition, version = self.starts.pop(0)
            if machine in self.machines and self.version[machine] == version:
                self.tasks[machine].append(partition)
                assert len(set(self.tasks[machine])) == 1, "two partitions on one machine"
        for tasks in self.tasks.values():
            if tasks and rng.random() < 0.4:
                tasks.pop()
        if leads:
            self.lead()

    def lead(self) -> None:
        uses = [
            MachineUse(name, ownership, {p: self.tasks[name].count(p) for p in self.tasks[name]})
            for name, ownership in self.machines.items()
        ]
        for name, new in by_shares(uses, self.shares).items():
            old = self.machines[name]
            if old is not None and old.partition != new.partition:
                assert old.is_being_handed_over and not self.tasks[name], (
                    "left and empty before it changes"
                )
                self.hands += 1
            self.machines[name] = new
            self.version[name] += 1

    def held(self) -> dict[str, int]:
        held = [
            h.partition
            for h in self.machines.values()
            if h is not None and not h.is_being_handed_over
        ]
        return {name: held.count(name) for name in self.names}


@pytest.mark.parametrize("seed", range(40))
def test_no_history_brings_two_partitions_on_one_machine_and_all_come_to_rest(seed: int) -> None:
    model = Model(seed, ["a", "b", "c"][: 2 + seed % 2])
    rng = model.rng
    for number in range(rng.randint(1, 12)):
        model.join(f"m{number}")
    for turn in range(120):
        if rng.random() < 0.08:
            cuts = sorted(rng.random() for _ in model.names[1:])
            bounds = [0.0, *cuts, 1.0]
            model.shares = {n: bounds[i + 1] - bounds[i] for i, n in enumerate(model.names)}
        if rng.random() < 0.05:
            model.join(f"n{turn}")
        if rng.random() < 0.05 and len(model.machines) > 1:
            gone = rng.choice(sorted(model.machines))
            del model.machines[gone], model.tasks[gone]
        model.turn(leads=rng.random() < 0.7)
    for _ in range(80):
        model.turn()
    target = apportion(len(model.machines), model.shares)
    assert model.held() == target
    before = model.hands
    for _ in range(30):
        model.turn()
    assert model.hands == before, "nothing changes hands without need"


def test_a_machine_given_away_at_once_would_work_for_two() -> None:
    """The guard taken out: the holder is not told to leave first."""

    def at_once(model: Model) -> None:
        target = apportion(len(model.machines), model.shares)
        for name, ownership in model.machines.items():
            if ownership is None or model.tasks[name]:
                model.machines[name] = ownership or Ownership("a")
                continue
            held = model.held()
            lacking = [n for n in model.names if held[n] < target[n]]
            if lacking and held[ownership.partition] > target[ownership.partition]:
                model.machines[name] = Ownership(lacking[0])

    model = Model(1, ["a", "b"])
    for number in range(8):
        model.join(f"m{number}")
    with pytest.raises(AssertionError, match="two partitions"):
        for turn in range(400):
            model.shares = {"a": 0.25 + 0.5 * (turn // 10 % 2), "b": 0.75 - 0.5 * (turn // 10 % 2)}
            model.turn(leads=False)
            at_once(model)


def test_machines_that_worked_before_are_adopted_by_whom_they_work_for() -> None:
    mixed = MachineUse("m0", None, {"a": 1, "b": 2})
    pure = MachineUse("m1", None, {"a": 3})
    strange = MachineUse("m2", None, {"": 3})
    found = by_shares([mixed, pure, strange], {"a": 0.5, "b": 0.5})
    assert found["m1"] == Ownership("a")
    assert found["m0"].is_being_handed_over and found["m2"].is_being_handed_over
    old = MachineUse("m3", Ownership("dropped"))
    assert by_shares([old], {"a": 1.0})["m3"].is_being_handed_over


def test_idle_machines_change_hands_before_those_at_work() -> None:
    uses = [
        MachineUse("m0", Ownership("a"), {"a": 1}, drain_s=500.0),
        MachineUse("m1", Ownership("a"), {"a": 1}, drain_s=5.0),
        MachineUse("m2", Ownership("a")),
        MachineUse("m3", Ownership("a"), {"a": 4}, drain_s=90.0),
    ]
    assert by_shares(uses, {"a": 0.5, "b": 0.5}) == {
        "m2": Ownership("a", is_being_handed_over=True),
        "m1": Ownership("a", is_being_handed_over=True),
    }


# --- records -----------------------------------------------------------------
def test_records_are_bounded_and_read_back() -> None:
    names = [f"vm-{number:06d}" for number in range(4000)]
    buckets: dict[int, OwnershipBucket] = {}
    for place, name in enumerate(names):
        bucket = buckets.setdefault(bucket_of(name), OwnershipBucket(7))
        bucket.owners[name] = Ownership("ab"[place % 2], place % 5 == 0, place % 7 == 0)
    assert len(buckets) == c.CAPACITY_BUCKETS
    for bucket in buckets.values():
        record = bucket.encode()
        assert len(str(record)) < 4096
        assert decode_bucket(record, 7).owners == bucket.owners


def test_shares_must_be_numbers_that_make_a_whole() -> None:
    capacity = parse(GOOD.encode(), SETTINGS)
    assert math.isclose(sum(row["all"] for row in capacity.configured_fractions().values()), 1.0)


def test_the_file_under_deploy_is_good_and_its_schema_is_published(tmp_path: Path) -> None:
    deploy = Path(__file__).parents[1] / "deploy" / "capacity.toml"
    assert parse(deploy.read_bytes(), SETTINGS).configured_fractions() == {"rest": {"all": 1.0}}
    result = CliRunner().invoke(main, ["capacity", "schema"])
    jsonschema.Draft202012Validator(json.loads(result.stdout)).validate(
        tomllib.loads(deploy.read_text())
    )


# --- histories ---------------------------------------------------------------
def summary(held: int) -> dict[str, Any]:
    row = {"target": 3, "held": held, "lent": 1, "leaving": [{"machine": "m"}], "tasks": 7}
    return {"version": 9, "pools": {"all": {"partitions": {"a": row}}}}


def test_histories_are_compressed_continued_and_read_back(tmp_path: Path) -> None:
    path = tmp_path / "history.zst"
    for first in (0, 1000):
        with HistoryWriter(path) as writer:
            for at in range(first, first + 1000):
                writer.add(summary_rows(summary(at % 5), float(at)))
    told = list(read_rows(path))
    assert [row.at for row in told] == [float(at) for at in range(2000)]
    assert told[7] == HistoryRow(7.0, 9, "all", "a", 3, 2, 1, 1, 7)
    assert path.stat().st_size < 20_000
    shown = CliRunner().invoke(main, ["capacity", "read-history", "--json", str(path)])
    assert len(json.loads(shown.stdout)) == 2000


def test_a_history_that_ends_early_is_read_up_to_there_and_another_file_is_refused(
    tmp_path: Path,
) -> None:
    path = tmp_path / "history.zst"
    with HistoryWriter(path) as writer:
        for at in range(1000):
            writer.add(summary_rows(summary(1), float(at)))
    path.write_bytes(path.read_bytes()[:-40])
    told = []
    with pytest.raises(HistoryError, match="its last block ends early"):
        for row in read_rows(path):
            told.append(row)
    assert len(told) >= 700
    path.write_text("no history")
    result = CliRunner().invoke(main, ["capacity", "read-history", str(path)])
    assert result.exit_code == 1 and result.stderr.count("\n") == 1
