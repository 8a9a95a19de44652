"""Messages of the external protocols: users, workers, cloud and key-value store.

The protocols have terms of their own, which no other module uses. Each struct maps them to its
attributes with `field(name=...)`:

| protocol | attribute | | protocol | attribute |
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

# Kinds of jobs.
ARRAY, SERVICE, GANG = "batch", "daemon", "group"
RANKS = {"production": 3, "urgent": 2, "standard": 1, "best_effort": 0}
"""priority -> rank; a higher rank is served first"""
# States of jobs. RUNNING is also a state of tasks in reports, DONE a cause of their end.
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "withdrawn"
# Other states of tasks in reports; then other causes of their end.
FETCHING, SAVING, EXITED = "pulling", "saving", "exited"
STOPPED, ERROR, NO_ROOM, BUSY, UNKNOWN = "stopped", "error", "full", "in_use", "unknown"
# Actions of commands to workers.
LAUNCH, HALT, FORGET = "launch", "halt", "forget"
# States of machines in the cloud's list.
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
    """The specification of a job, as a user submits it."""

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
    """jobs that must be done before a task of this job starts"""

    @property
    def service(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return self.kind == SERVICE

    @property
    def gang(self) -> bool:
        """Whether the tasks of the job start together or not at all.

        That includes services whose tasks must all be in one zone. A service with both `one_zone`
        and `spread` is excluded: at most half of its tasks may be in one zone, so it can never run
        completely, and it runs as many tasks as it may.
        """
        return self.kind == GANG or (
            self.service and self.one_zone and not self.spread and self.tasks > 1
        )

    @property
    def rank(self) -> int:
        """The priority as a number; a job with a higher number is served first."""
        return RANKS[self.priority]


class JobState(Struct, omit_defaults=True):
    """The state of a job, as a user's poll returns it."""

    id: str
    state: str = field(name="status")
    done: int | None = None
    running: int | None = None


class TaskReport(Struct, frozen=True):
    """An attempt of a task, as its worker reports it."""

    task: str = field(name="crate")
    attempt: Unsigned = field(name="try")
    state: str = field(name="status")
    cause: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="stored", default=None)

    def split(self) -> tuple[str, int]:
        """Return job id and task number.

        A name without a number at the end gives the number -1, which belongs to no task.
        """
        job, _, number = self.task.rpartition("/")
        return job, int(number) if number.isdigit() else -1


class Report(Struct, frozen=True):
    """A heartbeat of a worker: its machine and the state of its tasks."""

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
    """A command to a worker about one attempt of a task."""

    action: str = field(name="verb")
    task: str = field(name="crate")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="mooring_s", default=None)


class ReportAnswer(Struct):
    """The answer of a worker's owner to a report: fencing token and commands."""

    token: int = field(name="warrant")
    commands: list[Command] = field(name="orders")


class Orders(Struct):
    """Commands that the owner of a worker sends to it directly."""

    token: int = field(name="warrant")
    session: int = field(name="shift")
    commands: list[Command] = field(name="orders")


class Redirect(Struct, omit_defaults=True):
    """An answer that sends a worker to another controller."""

    report_to: str | None = field(name="harbormaster", default=None)


class MachineType(Struct, frozen=True):
    """A machine type that the cloud offers."""

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
    """All machine types that the cloud offers."""

    types: list[MachineType] = field(name="hulls")


class Machine(Struct, frozen=True):
    """A machine in the cloud's list of rented machines."""

    id: Text
    type: str = field(name="hull")
    zone: str = field(name="quay")
    state: str = field(name="status")
    addr: str = ""
    spot: bool = field(name="standby", default=False)
    age_s: float = 0.0


class MachineList(Struct):
    """One page of the cloud's list of rented machines."""

    machines: list[Machine] = field(name="dockhands")
    more: bool = field(name="has_next", default=False)


class Rent(Struct):
    """A request to rent machines of one type in one zone."""

    request: str = field(name="charter")
    type: str = field(name="hull")
    zone: str = field(name="quay")
    spot: bool = field(name="standby")
    count: int


class MachineIds(Struct):
    """Ids of machines: the rented ones in an answer, those to delete in a request."""

    machines: list[str] = field(name="dockhands")


class Row(Struct, frozen=True):
    """A key in the store, with its value, version and lease."""

    key: str
    value: Any = field(name="data")
    version: int = field(name="stamp")
    lease: int | None = field(name="permit", default=None)


class Rows(Struct):
    """One page of a list of keys."""

    items: list[Row] = field(name="rows")
    revision: int = field(name="ledger")
    more: bool = field(name="has_next", default=False)


class Event(Struct, frozen=True):
    """A change that a watch returns; either `put` or `delete` is the changed key."""

    version: int = field(name="stamp")
    put: str | None = field(name="set", default=None)
    delete: str | None = field(name="drop", default=None)
    value: Any = field(name="data", default=None)


class Watched(Struct):
    """The changes that a watch returns, up to a revision."""

    revision: int = field(name="ledger")
    events: list[Event] = field(name="events", default=[])


class Condition(Struct, frozen=True):
    """The version that a key must have for a transaction; 0 if the key must not exist."""

    key: str
    version: int = field(name="stamp")


class Write(Struct, frozen=True, omit_defaults=True):
    """One write of a transaction; either `put` or `delete` is its key."""

    put: str | UnsetType = field(name="set", default=UNSET)
    value: Any = field(name="data", default=UNSET)
    lease: int | UnsetType = field(name="permit", default=UNSET)
    delete: str | UnsetType = field(name="drop", default=UNSET)


class Txn(Struct):
    """A transaction whose writes are executed only if all conditions hold."""

    conditions: list[Condition] = field(name="if")
    writes: list[Write] = field(name="writes")


class Committed(Struct):
    """The answer to a transaction that was executed."""

    revision: int = field(name="ledger")


class Conflict(Struct):
    """The answer to a transaction that was not executed: the keys whose conditions failed."""

    failed: list[str]
    revision: int = field(name="ledger", default=0)


class Missing(Struct):
    """The answer to a read of a key that does not exist."""

    revision: int = field(name="ledger", default=0)


class GrantRequest(Struct):
    """A request for a lease with this time to live."""

    ttl_ms: int = field(name="life_ms")


class Grant(Struct):
    """The answer to a request for a lease: the id of the lease."""

    lease: int = field(name="permit")


def path_of_key(key: str) -> str:
    """Return the path of a key."""
    return f"/keys/{key}"


def path_of_list(prefix: str, after: str | None, limit: int) -> str:
    """Return the path of a page of keys, starting after the key `after`."""
    since = f"&since={after}" if after else ""
    return f"/keys?under={prefix}{since}&limit={limit}"


def path_of_watch(prefix: str, after: int, wait_ms: int) -> str:
    """Return the path of a watch for changes after the revision `after`."""
    return f"/follow?under={prefix}&since={after}&block_ms={wait_ms}"


def path_of_lease_renewal(lease: int) -> str:
    """Return the path of the renewal of a lease."""
    return f"/grants/{lease}/touch"


def path_of_lease(lease: int | None = None) -> str:
    """Return the path of a lease, or of all leases if none is given."""
    return "/grants" if lease is None else f"/grants/{lease}"


def path_of_machines(after: str | None, limit: int) -> str:
    """Return the path of a page of the machine list, starting after the machine `after`."""
    since = f"since={after}&" if after else ""
    return f"{PATH_MACHINES}?{since}limit={limit}"


encode = msgspec.json.Encoder().encode
