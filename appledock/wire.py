"""The words of the wire, and nowhere else: structs that rename them to ours.

| wire | here | | wire | here |
| --- | --- | --- | --- | --- |
| berth | job_class | | warrant | token |
| owner | team | | shift, tally | session, seq |
| crates, crate | tasks, task | | recall_s | notice_s |
| dockhand | worker, machine | | charter | request |
| hull, quay, standby | type, zone, spot | | ledger, stamp | revision, version |
| tethers | needs | | | |
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

Amount = Annotated[float, Meta(ge=0, le=1e12)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
Unsigned = Annotated[int, Meta(ge=0)]
JobId = Annotated[str, Meta(pattern=r"\Ajob-[0-9]{1,18}\Z")]

ARRAY, SERVICE, GANG = "batch", "daemon", "group"
RANKS = {"production": 3, "urgent": 2, "standard": 1, "best_effort": 0}
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "withdrawn"
FETCHING, SAVING, EXITED = "pulling", "saving", "exited"
STOPPED, ERROR, NO_ROOM, BUSY, UNKNOWN = "stopped", "error", "full", "in_use", "unknown"
LAUNCH, HALT, FORGET = "launch", "halt", "forget"
BOOTING, FAILED = "starting", "failed"

PATH_JOBS = "/v2/runs"
PATH_REPORT = "/agent/beat"
PATH_HEALTH = "/healthz"
PATH_ORDERS = "/orders"
PATH_WORKER_REPORT = "/show"
PATH_MACHINE_TYPES = "/machine_types"
PATH_MACHINES = "/machines"
PATH_TRANSACTION = "/txn"
PATH_DELETE_MACHINES = "/machines/delete"


class JobSpec(Struct, frozen=True):
    """What a user submits."""

    id: JobId
    job_class: Text = field(name="berth")
    team: Text = field(name="owner")
    kind: Annotated[str, Meta(pattern=r"\A(batch|daemon|group)\Z")] = field(name="shape")
    priority: Annotated[str, Meta(pattern=r"\A(production|urgent|standard|best_effort)\Z")] = field(
        name="rank"
    )
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="crates")
    cpus: Amount = field(name="cores")
    gpus: Amount = field(name="cards")
    memory_gb: Amount
    image: Text = field(name="cargo")
    image_gb: Amount
    one_zone: bool = field(name="together")
    spread: bool = field(name="scatter")
    spot: bool = field(name="standby")
    estimate_s: Amount = field(name="eta_s")
    checkpoint_s: Amount = field(name="stow_s")
    save_s: Amount = field(name="lash_s")
    types: list[Text] | None = field(name="hulls", default=None)
    zone: Text | None = field(name="quay", default=None)
    deadline_s: Amount | None = field(name="sail_s", default=None)
    needs: Annotated[list[JobId], Meta(max_length=1000)] | None = field(
        name="tethers", default=None
    )
    """jobs that have to be done before a task of this one starts"""

    @property
    def service(self) -> bool:
        """Does it run until it is cancelled?"""
        return self.kind == SERVICE

    @property
    def gang(self) -> bool:
        """Does it start whole or not at all?

        A service in one zone of which at most half may be in one zone can't be whole, and runs
        as far as it may.
        """
        return self.kind == GANG or (
            self.service and self.one_zone and not self.spread and self.tasks > 1
        )

    @property
    def rank(self) -> int:
        """Its priority as a number: the higher comes first."""
        return RANKS[self.priority]


class JobState(Struct, omit_defaults=True):
    """Answer to a poll."""

    id: str
    state: str = field(name="status")
    done: int | None = None
    running: int | None = None


class TaskReport(Struct, frozen=True):
    """One task in a report."""

    task: str = field(name="crate")
    attempt: Unsigned = field(name="try")
    state: str = field(name="status")
    cause: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="stored", default=None)

    def split(self) -> tuple[str, int]:
        """Job id and task number; a name of another form belongs to no job."""
        job, _, number = self.task.rpartition("/")
        return job, int(number) if number.isdigit() else -1


class Report(Struct, frozen=True):
    """A worker's report."""

    worker: Text = field(name="dockhand")
    addr: Text
    type: Text = field(name="hull")
    zone: Text = field(name="quay")
    session: Unsigned = field(name="shift")
    seq: Unsigned = field(name="tally")
    token: Unsigned = field(name="warrant")
    spot: bool = field(name="standby", default=False)
    notice_s: float | None = field(name="recall_s", default=None)
    tasks: list[TaskReport] = field(name="crates", default=[])


class Command(Struct, frozen=True, omit_defaults=True):
    """What a worker shall do with one task."""

    action: str = field(name="verb")
    task: str = field(name="crate")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="mooring_s", default=None)


class ReportAnswer(Struct):
    """The owner's answer to a report."""

    token: int = field(name="warrant")
    commands: list[Command] = field(name="orders")


class Orders(Struct):
    """Commands sent straight to a worker."""

    token: int = field(name="warrant")
    session: int = field(name="shift")
    commands: list[Command] = field(name="orders")


class Redirect(Struct, omit_defaults=True):
    """Where a worker shall report instead."""

    report_to: str | None = field(name="harbormaster", default=None)


class MachineType(Struct, frozen=True):
    """What the cloud offers."""

    name: Text
    cpus: Amount = field(name="cores")
    memory_gb: Amount
    price: Amount = field(name="hourly")
    spot_price: Amount = field(name="market_price")
    boot_s: Amount
    zones: list[Text] = field(name="quays")
    gpus: Amount = field(name="cards", default=0.0)
    cache_gb: Amount = field(name="local_gb", default=0.0)
    fetch_gb_per_s: Amount = field(name="pull_gb_per_s", default=0.0)


class MachineTypes(Struct):
    """All that the cloud offers."""

    types: list[MachineType] = field(name="hulls")


class Machine(Struct, frozen=True):
    """One row of the machine list."""

    id: Text
    type: str = field(name="hull")
    zone: str = field(name="quay")
    state: str = field(name="status")
    addr: str = ""
    spot: bool = field(name="standby", default=False)
    age_s: float = 0.0


class MachineList(Struct):
    """One page of the machine list."""

    machines: list[Machine] = field(name="dockhands")
    more: bool = field(name="has_next", default=False)


class Rent(Struct):
    """A rental request."""

    request: str = field(name="charter")
    type: str = field(name="hull")
    zone: str = field(name="quay")
    spot: bool = field(name="standby")
    count: int


class MachineIds(Struct):
    """Machines by name: rented, or to be deleted."""

    machines: list[str] = field(name="dockhands")


class Row(Struct, frozen=True):
    """One key of the state service."""

    key: str
    value: Any = field(name="data")
    version: int = field(name="stamp")
    lease: int | None = field(name="permit", default=None)


class Rows(Struct):
    """One page of keys."""

    items: list[Row] = field(name="rows")
    revision: int = field(name="ledger")
    more: bool = field(name="has_next", default=False)


class Event(Struct, frozen=True):
    """One change that the watch shows."""

    version: int = field(name="stamp")
    put: str | None = field(name="set", default=None)
    delete: str | None = field(name="drop", default=None)
    value: Any = field(name="data", default=None)


class Watched(Struct):
    """What the watch shows."""

    revision: int = field(name="ledger")
    events: list[Event] = field(name="events", default=[])


class Condition(Struct, frozen=True):
    """The version that a key must have; 0: it must not exist."""

    key: str
    version: int = field(name="stamp")


class Write(Struct, frozen=True, omit_defaults=True):
    """One write of a transaction."""

    put: str | UnsetType = field(name="set", default=UNSET)
    value: Any = field(name="data", default=UNSET)
    lease: int | UnsetType = field(name="permit", default=UNSET)
    delete: str | UnsetType = field(name="drop", default=UNSET)


class Txn(Struct):
    """A conditional transaction."""

    conditions: list[Condition] = field(name="if")
    writes: list[Write] = field(name="writes")


class Committed(Struct):
    """A transaction was executed."""

    revision: int = field(name="ledger")


class Conflict(Struct):
    """A transaction was not executed: keys whose condition failed."""

    failed: list[str]
    revision: int = field(name="ledger", default=0)


class Missing(Struct):
    """There is no such key."""

    revision: int = field(name="ledger", default=0)


class GrantRequest(Struct):
    """A lease asked for."""

    ttl_ms: int = field(name="life_ms")


class Grant(Struct):
    """A lease given."""

    lease: int = field(name="permit")


def path_of_key(key: str) -> str:
    """Path of one key."""
    return f"/keys/{key}"


def path_of_list(prefix: str, after: str | None, limit: int) -> str:
    """Path of a page of keys."""
    since = f"&since={after}" if after else ""
    return f"/keys?under={prefix}{since}&limit={limit}"


def path_of_watch(prefix: str, after: int, wait_ms: int) -> str:
    """Path of the watch."""
    return f"/follow?under={prefix}&since={after}&block_ms={wait_ms}"


def path_of_lease_renewal(lease: int) -> str:
    """Path of a lease's renewal."""
    return f"/grants/{lease}/touch"


def path_of_lease(lease: int | None = None) -> str:
    """Path of the leases, or of one."""
    return "/grants" if lease is None else f"/grants/{lease}"


def path_of_machines(after: str | None, limit: int) -> str:
    """Path of a page of the machine list."""
    since = f"since={after}&" if after else ""
    return f"{PATH_MACHINES}?{since}limit={limit}"


encode = msgspec.json.Encoder().encode
