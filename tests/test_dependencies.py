"""Chained jobs: the real code against a slow plain model, over random graphs and orders."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from appledock import wire
from appledock.core.records.job import Job
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.replica import Replica
from tests.test_requests import spec

NAMES = [f"job-{number}" for number in range(8)]


class Model:
    """All that is true of the jobs, worked out from nothing each time."""

    def __init__(self) -> None:
        self.specs: dict[str, wire.JobSpec] = {}
        self.ended: dict[str, str] = {}
        self.cancelled: set[str] = set()
        """cancelled by their own record, and not over yet"""

    def needs(self, name: str) -> list[str]:
        return self.specs[name].needs or []

    def doomed(self, name: str) -> bool:
        if name in self.ended:
            return self.ended[name] == wire.CANCELLED
        return name in self.cancelled or any(map(self.doomed, self.needs(name)))

    def ready(self, name: str) -> bool:
        return all(self.ended.get(need) == wire.DONE for need in self.needs(name))

    def open(self) -> list[str]:
        return [name for name in self.specs if name not in self.ended]

    def behind(self, name: str) -> list[str]:
        """Open jobs that need this one directly, and are not cancelled by another."""
        return [
            other
            for other in self.open()
            if name in self.needs(other) and not self._by_needs(other)
        ]

    def _by_needs(self, name: str) -> bool:
        return any(map(self.doomed, self.needs(name)))

    def rank(self, name: str) -> int:
        return max([self.specs[name].rank, *map(self.rank, self.behind(name))])

    def end(self, name: str) -> float:
        job = Job(self.specs[name], 100.0)
        return min(
            [
                job.deadline_wall_time(),
                *(self.end(other) - self.specs[other].estimate_s for other in self.behind(name)),
            ]
        )


def compare(model: Model, replica: Replica) -> None:
    needs = replica.dependencies
    for name in model.open():
        job = replica.jobs[name]
        assert (name not in needs.waiting_jobs) == model.ready(name), name
        assert replica.is_cancelled(name) == model.doomed(name), name
        assert (name in replica.queued_jobs) == (model.ready(name) and name not in model.cancelled)
        assert not needs.has_unknown_outcome(name)
        assert needs.inherited_priority(job) == (model.rank(name), model.end(name)), name
        assert needs.unfinished_prerequisites(name) == [
            need for need in dict.fromkeys(model.needs(name)) if model.ended.get(need) != wire.DONE
        ]
    assert not needs.unknown_outcomes
    # Nothing is kept of chains that are over.
    assert set(needs.prerequisites) == {name for name in model.open() if model.needs(name)}
    assert set(needs.dependents) == {need for name in model.open() for need in model.needs(name)}
    assert needs.cancelled_by_dependency <= set(needs.prerequisites) and needs.waiting_jobs <= set(
        needs.prerequisites
    )
    assert set(needs.open_jobs) <= set(needs.prerequisites) | set(needs.dependents)
    assert set(needs.outcomes) <= set(needs.dependents)


def started_anew(model: Model) -> Replica:
    """A controller that has just read everything open, and then how the rest ended."""
    replica = Replica()
    for version, name in enumerate(sorted(model.open()), 1):
        job = Job(model.specs[name], 100.0, version, cancelled=name in model.cancelled)
        replica.set_job(job)
    needed = {need for name in model.open() for need in model.needs(name)}
    assert replica.dependencies.unknown_outcomes == {need for need in needed if need in model.ended}
    for name in model.open():
        assert replica.dependencies.has_unknown_outcome(name) == any(
            need in model.ended for need in above(model, name, set())
        )
    for need in sorted(replica.dependencies.unknown_outcomes):
        replica.put(FINAL_PREFIX + need, {"state": model.ended[need]}, 1000)
    return replica


def above(model: Model, name: str, seen: set[str]) -> set[str]:
    """What the job needs, directly or through open ones."""
    for need in model.needs(name):
        if need not in seen:
            seen.add(need)
            if need not in model.ended:
                above(model, need, seen)
    return seen


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.data())
def test_readiness_and_cancellation_follow_from_what_is_known(data: st.DataObject) -> None:
    model, replica, revision = Model(), Replica(), 0
    for _ in range(data.draw(st.integers(4, 30))):
        revision += 1
        what = data.draw(st.sampled_from(["submit", "submit", "cancel", "end", "end", "anew"]))
        fresh = [name for name in NAMES if name not in model.specs]
        if what == "submit" and fresh:
            name = data.draw(st.sampled_from(fresh))
            known = sorted(model.specs)
            needs = data.draw(st.lists(st.sampled_from(known), max_size=3)) if known else []
            one = spec(
                id=name,
                tethers=needs,
                eta_s=data.draw(st.sampled_from([1.0, 7.0])),
                rank=data.draw(st.sampled_from(list(wire.RANKS))),
                sail_s=data.draw(st.sampled_from([None, 60.0, 90.0])),
            )
            model.specs[name] = one
            replica.set_job(Job(one, 100.0, revision))
        elif what == "cancel" and model.open():
            name = data.draw(st.sampled_from(sorted(model.open())))
            model.cancelled.add(name)
            job = replica.jobs[name].copy()
            job.cancelled, job.version = True, revision
            replica.set_job(job)
        elif what == "end" and model.open():
            name = data.draw(st.sampled_from(sorted(model.open())))
            if not model.doomed(name) and not model.ready(name):
                continue
            state = wire.CANCELLED if model.doomed(name) else wire.DONE
            model.ended[name] = state
            model.cancelled.discard(name)
            # Both changes have one revision, and their order is not stated.
            if data.draw(st.booleans()):
                replica.put(FINAL_PREFIX + name, {"state": state}, revision)
                replica.drop(JOBS_PREFIX + name, revision)
            else:
                replica.drop(JOBS_PREFIX + name, revision)
                replica.put(FINAL_PREFIX + name, {"state": state}, revision)
        elif what == "anew":
            replica = started_anew(model)
            revision = 1000 + revision
        for need in sorted(
            replica.dependencies.unknown_outcomes
        ):  # ended before this controller started
            replica.put(FINAL_PREFIX + need, {"state": model.ended[need]}, revision)
        compare(model, replica)


def test_a_long_chain_costs_no_recursion() -> None:
    replica = Replica()
    for number in range(3000):
        needs = [f"job-{number - 1}"] if number else None
        replica.set_job(Job(spec(id=f"job-{number}", tethers=needs), 100.0, number + 1))
    last = replica.jobs["job-2999"]
    assert replica.dependencies.inherited_priority(replica.jobs["job-0"])[0] == last.spec.rank
    first = replica.jobs["job-0"].copy()
    first.cancelled, first.version = True, 5000
    replica.set_job(first)
    assert len(replica.dependencies.cancelled_by_dependency) == 2999
