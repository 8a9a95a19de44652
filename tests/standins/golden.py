"""Examples of all stored records and of all messages between controllers, as a version
writes them in a run of the stand-ins: `python3 -m tests.standins.golden production` prints
those kept in `tests/golden/`."""

from __future__ import annotations

import json
import re
import sys
from functools import cache, partial
from pathlib import Path
from typing import Any

from tests.standins.chains import pipeline
from tests.standins.versions import Code, production, served
from tests.standins.world import World

FOLDER = Path(__file__).parents[1] / "golden"
NAME = re.compile(r"\A(n\d+|vm-\d+|job-\d+)\Z")
"""keys of maps that are names and no fields"""
LARGEST = 1200
"""bytes; of the examples kept, where smaller ones show the same"""
Examples = dict[str, list[Any]]
"""kind -> examples; of records [key, value] each"""


class Recorder:
    """Notes what the controllers of a world say to each other; the state service's
    stand-in notes what they write."""

    def __init__(self, world: World) -> None:
        self.messages: list[dict[str, Any]] = []
        for node in world.nodes.values():
            receive = node.receive

            def noted(message: dict[str, Any], receive: Any = receive) -> None:
                self.messages.append(message)
                receive(message)

            node.receive = noted  # type: ignore[method-assign]


@cache
def run(code: Code) -> tuple[Examples, Examples]:
    """Records and messages of a busy day with few machines: jobs that stop others, killed
    machines and controllers, operators at work, pipelines where the version knows them."""
    world = World(3, capacity=6, code=code)
    recorder = Recorder(world)
    clock, rng = world.clock, world.clock.rng
    for number in range(14):
        one = world.spec(number)
        clock.at(
            0.5 + rng.random() * 40,
            partial(world.submit, one, None if number % 3 else 15.0),
        )
    for number in range(20, 24):
        one = {**world.spec(number), "shape": "batch", "rank": "best_effort", "crates": 16}
        one.update(run_s=40.0, together=False, scatter=False, standby=True, quay=None, cores=1.0)
        clock.at(1.0, partial(world.submit, one))
        high = {**one, "id": f"job-{number + 10:06d}", "rank": "urgent", "crates": 6, "run_s": 5.0}
        clock.at(30.0, partial(world.submit, high))
    clock.at(
        10.0,
        lambda: operate(
            world, "PATCH", "settings", b'{"settings": {"sample": 8, "idle_return_s": 25.5}}'
        ),
    )
    for time, action in ((20.0, "cordon"), (24.0, "uncordon"), (28.0, "drain")):
        clock.at(time, partial(operate_first, world, action))
    clock.at(35.0, lambda: world.cloud.kill(sorted(world.cloud.workers)[1]))
    clock.at(40.0, lambda: world.nodes["n1"].crash(1.0))
    clock.at(45.0, lambda: _cut_off(world))
    for node in world.nodes.values():
        clock.at(75.0, partial(node.crash, 3.0))
    if code is not production():
        clock.at(12.0, lambda: pipeline(world, 1))
    clock.run(110.0)
    assert world.judge.broken == []
    records: Examples = {}
    for event in world.state.history:
        if "set" in event:
            records.setdefault(kind_of(event["set"]), []).append([event["set"], event["data"]])
    messages: Examples = {}
    for message in recorder.messages:
        messages.setdefault(message["kind"], []).append(message)
    return records, messages


def made(code: Code) -> Examples:
    """Records with every field that a version knows, as its own code encodes them. Only
    for earlier versions: the names here are theirs, and never change."""
    spec: dict[str, Any] = {
        "id": "job-000042",
        "job_class": "arr",
        "team": "red",
        "kind": "batch",
        "priority": "standard",
        "tasks": 90,
        "cpus": 1.5,
        "gpus": 1.0,
        "memory_gb": 2.25,
        "image": "img-1",
        "image_gb": 1.5,
        "one_zone": True,
        "spread": False,
        "spot": True,
        "estimate_s": 5.0,
        "checkpoint_s": 2.0,
        "save_s": 1.0,
        "types": ["h4", "h8"],
        "zone": "a",
        "deadline_s": 60.0,
    }
    needs = {} if code is production() else {"needs": ["job-000040", "job-000041"]}
    found: Examples = {"jobs": [], "view": [], "teams": []}
    for more, changes in (
        ({}, {"handoff": ("n1", "n1.1.1"), "failures": 2}),
        ({}, {"cancelled": True, "cancelled_at": 1234.5}),
        ({}, {"cancelled": True}),
        (needs, {}),
    ):
        job = code.job(code.wire.JobSpec(**spec, **more), (1, 4, 5, 6, 80), **changes)
        job.attempts = [
            code.jobs.Attempt("vm-000007", 1, 2, 41, False, {0, 2, 7, 8}),
            code.jobs.Attempt("vm-000008", 1, 2, 41, False, {9, 10, 11}),
            code.jobs.Attempt("vm-00055702", 12, 3, 42, True, {3}),
            code.jobs.Attempt("other", 1, 3, 42, False, {20}),
        ]
        for format_ in (1,) if code is production() else (1, 2):
            if "needs" in more and format_ == 1:
                continue
            found["jobs"].append(["ad/live/jobs/job-000042", code.encode_job(job, format_)])
    view = code.view_type()(
        9,
        {"n0": "n0.1.1", "n1": "n1.2.1"},
        "n1",
        {"vm-000007": ["n0", "n0.1.1"]},
        {"n0": "n0.1.1"},
    )
    found["view"].append(["ad/live/view", view.encode()])
    team = code.team_type()(3, 9, {"n0": (7.5, 0.0), "n1": (4.25, 2.0)})
    found["teams"].append(["ad/live/teams/red", team.encode()])
    plain: Examples = json.loads(code.wire.encode(found))
    return plain


def operate(world: World, method: str, path: str, body: bytes = b"") -> None:
    world.call_node("user", "n0", method, f"/admin/v1/{path}", body, lambda *_: None)


def operate_first(world: World, action: str) -> None:
    operate(world, "POST", f"machines/{sorted(world.cloud.workers)[0]}/{action}")


def _cut_off(world: World) -> None:
    machines = sorted(world.cloud.workers)[2:4]
    world.clock.cut(set(machines), {*world.names, "cloud"}, 25.0, False)


def kind_of(key: str) -> str:
    """`jobs`, `view`, `final` ..."""
    return key.removeprefix("ad/").removeprefix("live/").partition("/")[0]


def paths(value: Any, path: str = "") -> set[str]:
    """The names of all fields in it, each with the kind of its value."""
    if isinstance(value, dict):
        found = {f"{path}:map"}
        for key, item in value.items():
            found |= paths(item, f"{path}.{'*' if NAME.match(key) else key}")
        return found
    if isinstance(value, list):
        return {f"{path}:list"}.union(*(paths(item, f"{path}[]") for item in value))
    kind = {bool: "bool", str: "text", type(None): "null"}.get(type(value), "number")
    return {f"{path}:{kind}"}


def cover(examples: list[Any]) -> list[Any]:
    """A few of them, of a size to read, that show every field that any of them has."""
    chosen: list[Any] = []
    shown: set[str] = set()
    sizes = [len(json.dumps(one)) for one in examples]
    for example in [
        one
        for _, one in sorted(
            zip(sizes, examples, strict=True),
            key=lambda pair: (pair[0] > LARGEST, -len(paths(pair[1])), -pair[0]),
        )
    ]:
        if paths(example) - shown:
            chosen.append(example)
            shown |= paths(example)
    return chosen


@cache
def kept(version: str) -> dict[str, Examples]:
    """The examples in `tests/golden/`: `records` and `messages` of a run, and what was
    `made` to have every field."""
    examples: dict[str, Examples] = json.loads((FOLDER / f"{version}.json").read_text())
    return examples


def _print(code: Code) -> None:
    """One example a line."""
    records, messages = run(code)
    parts = {"records": records, "messages": messages}
    covers = {
        part: {kind: cover(rows) for kind, rows in sorted(examples.items())}
        for part, examples in parts.items()
    }
    covers["made"] = made(code)
    text = json.dumps(covers, indent=1)
    print(re.sub(r"\n {3,}", " ", text))


if __name__ == "__main__":
    _print({"production": production, "served": served}[sys.argv[1]]())
