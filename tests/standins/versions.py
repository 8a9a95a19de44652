"""The code of earlier versions, from this repository's history, beside the present one.

What the tests touch of a version goes through its `Code`: the modules by their part, the
commands that a controller takes, the effects that it returns, and a few questions about
its inside. Each generation of names has an adapter of its own, so that a renaming in the
present code changes `PresentCode` alone.
"""

from __future__ import annotations

import importlib
import io
import json
import random
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import dataclass
from enum import Enum
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any, ClassVar

import msgspec

ROOT = Path(__file__).parents[2]
SERVED = "145af75fd13d081803f0788ac576e1481599394e"
"""the last head of `main` that served users: its records stay readable for ever"""
BASELINE = "ba57e4e"
"""the commit whose effects the present code has to repeat while it is refactored: the last one that
changed them on purpose"""
BEFORE_SHARED_ORDER = "140e181"
"""the last commit whose controllers order a queue by times that each takes by itself"""


class EffectKind(Enum):
    """What a controller can ask of its surroundings."""

    REPLY = "reply"
    STORE_CALL = "store"
    CLOUD_CALL = "cloud"
    WORKER_CALL = "worker"
    PEER_SEND = "peer"
    LOG_LEVEL = "log_level"


@dataclass(frozen=True)
class MoveUnderWay:
    """A move of a running task that the owner of its job carries out."""

    job: str
    source: str
    destination: str


@dataclass(frozen=True)
class HttpCall:
    """A request to an outside system, as it goes onto the wire."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True)
class RefusedRequest:
    """A request that is answered before any controller's engine sees it."""

    status: int
    error: str


class Code:
    """The modules of one version that a simulated controller is made of, under the names
    that they have in the production version and in the served head."""

    MODULES: ClassVar[dict[str, str]] = {
        "constants": "constants",
        "wire": "wire",
        "settings": "settings",
        "engine": "core.engine",
        "events": "core.events",
        "jobs": "core.jobs",
        "replica": "core.replica",
        "store": "adapters.store",
        "cloud": "adapters.cloud",
        "users": "adapters.users",
    }
    """part -> module"""
    EFFECTS: ClassVar[dict[str, EffectKind]] = {
        "Reply": EffectKind.REPLY,
        "StoreCall": EffectKind.STORE_CALL,
        "CloudCall": EffectKind.CLOUD_CALL,
        "WorkerCall": EffectKind.WORKER_CALL,
        "PeerSend": EffectKind.PEER_SEND,
        "SetLogLevel": EffectKind.LOG_LEVEL,
    }
    """class of an effect -> its kind"""
    constants: ModuleType
    wire: ModuleType
    settings: ModuleType
    engine: ModuleType
    events: ModuleType
    jobs: ModuleType
    replica: ModuleType
    store: ModuleType
    cloud: ModuleType
    users: ModuleType
    capacity_settings: ModuleType
    keys: ModuleType
    views: ModuleType
    allocations: ModuleType
    calls: ModuleType
    rebalancing_settings: ModuleType
    effects: ModuleType
    cloud_calls: ModuleType

    def __init__(self, name: str) -> None:
        self.name = name
        for part, module in self.MODULES.items():
            setattr(self, part, importlib.import_module(f"appledock.{module}"))

    def __repr__(self) -> str:
        return self.name

    # --- a controller -----------------------------------------------------
    def controller(
        self,
        settings_file: bytes,
        incarnation: str,
        rng: random.Random,
        rebalancing: Any = None,
        capacity: Any = None,
    ) -> Any:
        """A controller that has just started; earlier versions know no such parts."""
        return self.engine.Engine(self.settings.parse(settings_file), incarnation, rng)

    def handle(self, controller: Any, batch: list[Any], now: float, wall: float) -> list[Any]:
        """Work through a batch of commands; the effects in their order."""
        effects: list[Any] = controller.handle(batch, now, wall)
        return effects

    def healthy(self, controller: Any) -> bool:
        """Can it take requests of users?"""
        return bool(controller.healthy())

    def queue_length(self, controller: Any) -> int:
        """Jobs that wait, as far as it knows."""
        return len(controller.replica.queued)

    def shares_in_force(self, controller: Any) -> bool:
        """Does it keep to capacity shares? Earlier versions know none."""
        return False

    def has_rebalancing(self, controller: Any) -> bool:
        """Does this version know the settings of rebalancing?"""
        return False

    def move_outcomes(self, controller: Any) -> dict[str, int]:
        """Outcome -> moves of running tasks that ended so."""
        return {}

    def moves_under_way(self, controller: Any) -> list[Any]:
        """The orders of the moves that it carries out as owner of their jobs."""
        return []

    def move(self, order: Any) -> MoveUnderWay:
        """Which task's job the order of a move is about, and from where to where."""
        return MoveUnderWay(order.job, order.source, order.destination)

    # --- commands ---------------------------------------------------------
    def tick(self) -> Any:
        """The command to look at the timers."""
        return self.events.Tick()

    def is_tick(self, command: Any) -> bool:
        return isinstance(command, self.events.Tick)

    @property
    def tick_s(self) -> float:
        """Time between two ticks."""
        return float(self.constants.TICK_S)

    def peer_opened(self, name: str) -> Any:
        """A link to a peer is open."""
        return self.events.PeerOpened(name)

    def peer_message(self, message: dict[str, Any]) -> Any:
        """A message of a peer has arrived."""
        return self.events.PeerMessage(message)

    def user_command(self, request_id: int, method: str, path: str, body: bytes) -> Any:
        """The command that an HTTP request stands for, or a `RefusedRequest`."""
        try:
            return self.users.command(request_id, method, path, body)
        except self.users.Refused as refused:
            return RefusedRequest(refused.status, refused.error)

    def store_reply(self, call: Any, outcome: str) -> Any:
        """The state service gave no answer to the call: it is `refused` or `unknown`."""
        return self.events.StoreReply(self.call_id(call), outcome)

    def store_answered(self, call: Any, status: int, body: bytes) -> Any:
        """The state service's answer to the call has arrived."""
        return self.events.StoreReply(self.call_id(call), *self.store.classify(call, status, body))

    def cloud_reply(self, call: Any, outcome: str) -> Any:
        """The cloud gave no answer to the call: it is `refused` or `unknown`."""
        return self.events.CloudReply(self.call_id(call), outcome)

    def cloud_answered(self, call: Any, status: int, body: bytes) -> Any:
        """The cloud's answer to the call has arrived."""
        return self.events.CloudReply(self.call_id(call), *self.cloud.classify(call, status, body))

    def worker_reply(self, call: Any, outcome: str, report: dict[str, Any] | None = None) -> Any:
        """How a direct call to a worker ended: `ok`, `stale`, `not_sent` or `unknown`."""
        decoded = None if report is None else msgspec.convert(report, self.wire.Report)
        return self.events.WorkerReply(self.call_id(call), outcome, decoded)

    # --- effects ----------------------------------------------------------
    def kind(self, effect: Any) -> EffectKind:
        """Which kind of effect it is."""
        for name, kind in self.EFFECTS.items():
            if isinstance(effect, getattr(self.effect_types(), name)):
                return kind
        raise TypeError(f"not an effect: {effect!r}")

    def effect_types(self) -> ModuleType:
        """The module of the effects' classes."""
        return self.events

    def call_id(self, call: Any) -> int:
        """The number that the answer to the call has to carry."""
        return int(call.tag)

    def timeout_s(self, call: Any) -> float:
        """How long the call's answer is waited for."""
        return float(call.timeout)

    def store_request(self, call: Any) -> HttpCall:
        """The call as a request to the state service."""
        return HttpCall(*self.store.request(call))

    def cloud_request(self, call: Any) -> HttpCall:
        """The call as a request to the cloud."""
        return HttpCall(*self.cloud.request(call))

    def worker_address(self, call: Any) -> str:
        """Where the worker listens."""
        return str(call.addr)

    def worker_orders(self, call: Any) -> bytes | None:
        """The commands to the worker, encoded; None: it is asked for its report."""
        return None if call.orders is None else self.encode(call.orders)

    def request_id(self, reply: Any) -> int:
        """The number of the request that is answered."""
        return int(reply.ask)

    def reply_status(self, reply: Any) -> int:
        return int(reply.status)

    def reply_body(self, reply: Any) -> bytes:
        return self.encode(reply.body)

    def reply_headers(self, reply: Any) -> dict[str, str]:
        return reply.headers or {}

    def peer_target(self, send: Any) -> str | None:
        """The peer that the message is for; None: for all."""
        target: str | None = send.to
        return target

    def peer_body(self, send: Any) -> bytes:
        """The message to the peer, encoded."""
        return self.encode(send.message)

    def log_level(self, effect: Any) -> str:
        return str(effect.level)

    def encode(self, value: Any) -> bytes:
        """JSON, as this version writes it."""
        encoded: bytes = self.wire.encode(value)
        return encoded

    # --- questions about the inside ---------------------------------------
    def view(self, controller: Any) -> Any:
        """The newest view that it knows, or None."""
        return controller.replica.view

    def format_in_use(self, controller: Any) -> int:
        """The format of records that it takes for the one in use."""
        return int(controller.replica.format[1])

    def hears(self, controller: Any, peer: str) -> bool:
        """Did the peer say lately that it is there?"""
        return bool(controller.pulse.reached(peer))

    def told_by(self, controller: Any, peer: str) -> dict[str, Any]:
        """What the peer said in its last pulse, as far as this version keeps it."""
        pulse = controller.pulse
        return {
            "node": peer,
            "served_s": round(controller.now - pulse.heard[peer][1], 3),
            "writes": pulse.writes[peer],
            "reporting": pulse.reporting[peer],
            "vain": pulse.vain[peer],
            "pressed": pulse.pressed[peer],
        }

    def knows_gone(self, controller: Any, machine: str) -> bool:
        """Does it know that the machine is deleted?"""
        return machine in controller.workers.gone

    def seen(self, controller: Any, machine: str) -> tuple[int, int]:
        """Session and number of the machine's newest report that it knows of."""
        session, seq = controller.workers.table[machine].seen
        return int(session), int(seq)

    # --- records ----------------------------------------------------------
    def key_prefix(self, name: str) -> str:
        """The prefix of keys that a constant of this version names."""
        return str(getattr(self.replica, name))

    def rewrite(self, key: str, value: Any, format_: int = 1) -> Any:
        """A stored record read by this version, and what it would write in its place."""
        replica = self.replica.Replica()
        replica.put(key, value, 7)
        kind, _, name = key.removeprefix(self.key_prefix("LIVE")).partition("/")
        if key.startswith(self.key_prefix("FINAL")):
            return self.final_record(replica, key.removeprefix(self.key_prefix("FINAL")))
        if kind == "jobs":
            return self._plain(self.encode_job(replica.jobs[name], format_))
        if kind == "teams":
            return self._plain(self.team_records(replica)[name].encode())
        if kind == "members":
            return self.member_record(replica.members[name])
        if kind == "view":
            return self._plain(replica.view.encode())
        return self._plain(self.single_record(replica, kind))

    def view_type(self) -> Any:
        """Class of the membership view's record."""
        return self.replica.View

    def team_type(self) -> Any:
        """Class of the record of how a team's quota is divided."""
        return self.replica.Team

    def team_records(self, replica: Any) -> Any:
        """Team -> its record."""
        return replica.teams

    def final_states(self, replica: Any) -> Any:
        """Job -> how it ended."""
        return replica.finals

    def final_record(self, replica: Any, job: str) -> dict[str, Any]:
        """What this version keeps of the final record of a job."""
        return {"state": self.final_states(replica)[job]}

    def single_record(self, replica: Any, kind: str) -> Any:
        """The value of a record of which there is one."""
        return {
            "catalogue": {"types": replica.catalogue[1]},
            "settings": replica.settings[1],
            "format": {"format": replica.format[1]},
        }[kind]

    def job(self, spec: Any, completed: tuple[int, ...], **fields: Any) -> Any:
        """A job submitted at 12.5 s, at version 7 and step 3; `fields` by their first names."""
        job = self.jobs.Job(spec, 12.5, 7, 3, **fields)
        for task in completed:
            job.done.add(task)
        return job

    def encode_job(self, job: Any, format_: int) -> Any:
        return job.encode(format_)

    def member_record(self, member: Any) -> dict[str, Any]:
        return {
            "incarnation": member.incarnation,
            "lease": member.lease,
            "format": self.member_format(member),
        }

    def member_format(self, member: Any) -> int:
        """Newest format that the member reads and writes."""
        return int(member.format)

    def _plain(self, value: Any) -> Any:
        return json.loads(self.wire.encode(value))


class ProductionCode(Code):
    """The version in production knows one format of records and says none."""

    def encode_job(self, job: Any, format_: int) -> Any:
        assert format_ == 1
        return job.encode()

    def member_record(self, member: Any) -> dict[str, Any]:
        return {"incarnation": member.incarnation, "lease": member.lease}


class BeforeRefactoringCode(Code):
    """The names of the commit with which the refactoring began."""

    MODULES: ClassVar[dict[str, str]] = {
        **Code.MODULES,
        "capacity_settings": "capacity.settings",
        "rebalancing_settings": "rebalancing.settings",
    }

    def controller(
        self,
        settings_file: bytes,
        incarnation: str,
        rng: random.Random,
        rebalancing: Any = None,
        capacity: Any = None,
    ) -> Any:
        settings = self.settings.parse(settings_file)
        return self.engine.Engine(
            settings,
            incarnation,
            rng,
            self._own(rebalancing, self.rebalancing_settings.Rebalancing),
            self._own(capacity, self.capacity_settings.Capacity),
        )

    def _own(self, value: Any, own_type: type) -> Any:
        """Settings in this version's type: scenarios make them in the present code's."""
        if value is None or isinstance(value, own_type):
            return value
        return msgspec.convert(msgspec.to_builtins(value), own_type)

    def shares_in_force(self, controller: Any) -> bool:
        return bool(controller.shares.in_force())

    def has_rebalancing(self, controller: Any) -> bool:
        return True

    def move_outcomes(self, controller: Any) -> dict[str, int]:
        return {str(outcome): count for outcome, count in controller.moves.outcomes.items()}

    def moves_under_way(self, controller: Any) -> list[Any]:
        return [under_way.order for under_way in controller.moves.active.values()]

    def hears(self, controller: Any, peer: str) -> bool:
        return bool(controller.heartbeats.reached(peer))

    def told_by(self, controller: Any, peer: str) -> dict[str, Any]:
        return self._heartbeat_fields(controller, peer, controller.heartbeats.heard[peer])

    def _heartbeat_fields(self, controller: Any, peer: str, heard: Any) -> dict[str, Any]:
        return {
            "node": peer,
            "served_s": round(controller.now - heard.served_at, 3),
            "writes": heard.heartbeat.writes,
            "reporting": heard.heartbeat.reporting,
            "vain": heard.heartbeat.unanswered,
            "pressed": heard.heartbeat.pressed,
        }


class PresentCode(BeforeRefactoringCode):
    """The code of this checkout: the one adapter that follows its names."""

    KEYS: ClassVar[dict[str, str]] = {
        "LIVE": "LIVE_PREFIX",
        "FINAL": "FINAL_PREFIX",
        "FORMAT": "FORMAT_KEY",
    }
    MODULES: ClassVar[dict[str, str]] = {
        **BeforeRefactoringCode.MODULES,
        "jobs": "core.records.job",
        "replica": "core.store.replica",
        "views": "core.records.membership_view",
        "allocations": "core.records.team_allocation",
        "keys": "core.store.keys",
        "calls": "core.store_calls",
        "engine": "core.controller",
        "events": "core.commands",
        "effects": "core.effects",
        "cloud_calls": "core.cloud_calls",
        "users": "adapters.http_requests",
    }
    EFFECTS: ClassVar[dict[str, EffectKind]] = {
        "Response": EffectKind.REPLY,
        "StoreCall": EffectKind.STORE_CALL,
        "CloudCall": EffectKind.CLOUD_CALL,
        "WorkerCall": EffectKind.WORKER_CALL,
        "PeerSend": EffectKind.PEER_SEND,
        "SetLogLevel": EffectKind.LOG_LEVEL,
    }

    def controller(
        self,
        settings_file: bytes,
        incarnation: str,
        rng: random.Random,
        rebalancing: Any = None,
        capacity: Any = None,
    ) -> Any:
        settings = self.settings.parse(settings_file)
        return self.engine.Controller(
            settings,
            incarnation,
            rng,
            self._own(rebalancing, self.rebalancing_settings.Rebalancing),
            self._own(capacity, self.capacity_settings.Capacity),
        )

    def healthy(self, controller: Any) -> bool:
        return bool(controller.health.is_healthy())

    def queue_length(self, controller: Any) -> int:
        return len(controller.replica.queued_jobs)

    def format_in_use(self, controller: Any) -> int:
        return int(controller.replica.record_format.value)

    def shares_in_force(self, controller: Any) -> bool:
        return bool(controller.partitions.is_in_force())

    def job(self, spec: Any, completed: tuple[int, ...], **fields: Any) -> Any:
        names = {
            "handoff": "handoff_target",
            "failures": "consecutive_failures",
            "cancelled_at": "cancelled_wall_time",
        }
        fields = {names.get(name, name): value for name, value in fields.items()}
        job = self.jobs.Job(spec, 12.5, 7, 3, **fields)
        for task in completed:
            job.completed_tasks.add(task)
        return job

    def moves_under_way(self, controller: Any) -> list[Any]:
        return [move.order for move in controller.moves.reservations.as_job_owner.values()]

    def hears(self, controller: Any, peer: str) -> bool:
        return bool(controller.heartbeats.is_reachable(peer))

    def told_by(self, controller: Any, peer: str) -> dict[str, Any]:
        last_heartbeats = controller.heartbeats.last_heartbeats
        return self._heartbeat_fields(controller, peer, last_heartbeats[peer])

    def _heartbeat_fields(self, controller: Any, peer: str, heard: Any) -> dict[str, Any]:
        return {
            "node": peer,
            "served_s": round(controller.runtime.now - heard.store_answered_at, 3),
            "writes": heard.heartbeat.write_rate,
            "reporting": heard.heartbeat.reporting_fraction,
            "vain": heard.heartbeat.owner_timeouts,
            "pressed": heard.heartbeat.is_service_rate_limited,
        }

    def store_request(self, call: Any) -> HttpCall:
        return HttpCall(*self.store.build_request(call.request))

    def store_reply(self, call: Any, outcome: str) -> Any:
        outcome_type = {"refused": self.calls.NotExecuted, "unknown": self.calls.UnknownOutcome}
        return self.events.StoreReply(self.call_id(call), outcome_type[outcome]())

    def store_answered(self, call: Any, status: int, body: bytes) -> Any:
        return self.events.StoreReply(self.call_id(call), self.store.classify(call, status, body))

    def cloud_reply(self, call: Any, outcome: str) -> Any:
        return super().cloud_reply(call, self.cloud_calls.CloudOutcome(outcome))

    def cloud_answered(self, call: Any, status: int, body: bytes) -> Any:
        return self.cloud.classify(call, status, body)

    def cloud_request(self, call: Any) -> HttpCall:
        return HttpCall(*self.cloud.build_request(call.request))

    def effect_types(self) -> ModuleType:
        return self.effects

    def peer_opened(self, name: str) -> Any:
        return self.events.PeerConnected(name)

    def peer_message(self, message: dict[str, Any]) -> Any:
        return self.events.PeerMessageReceived(message)

    def user_command(self, request_id: int, method: str, path: str, body: bytes) -> Any:
        try:
            return self.users.parse_command(request_id, method, path, body)
        except self.users.Refused as refused:
            return RefusedRequest(refused.status, refused.error)

    def worker_address(self, call: Any) -> str:
        return str(call.address)

    def worker_reply(self, call: Any, outcome: str, report: dict[str, Any] | None = None) -> Any:
        return super().worker_reply(call, self.events.WorkerOutcome(outcome), report)

    def call_id(self, call: Any) -> int:
        return int(call.call_id)

    def timeout_s(self, call: Any) -> float:
        return float(call.timeout_s)

    def request_id(self, reply: Any) -> int:
        return int(reply.request_id)

    def knows_gone(self, controller: Any, machine: str) -> bool:
        return machine in controller.workers.deleted_machines

    def seen(self, controller: Any, machine: str) -> tuple[int, int]:
        number = controller.workers.table[machine].status.newest_number
        return int(number.agent_epoch), int(number.seq)

    def key_prefix(self, name: str) -> str:
        return str(getattr(self.keys, self.KEYS[name]))

    def view_type(self) -> Any:
        return self.views.View

    def team_type(self) -> Any:
        return self.allocations.TeamAllocation

    def member_format(self, member: Any) -> int:
        return int(member.record_format)

    def team_records(self, replica: Any) -> Any:
        return replica.allocations

    def final_states(self, replica: Any) -> Any:
        return replica.final_states

    def final_record(self, replica: Any, job: str) -> dict[str, Any]:
        record = super().final_record(replica, job)
        ended_wall_time = replica.ended_wall_times.get(job)
        return record if ended_wall_time is None else {**record, "at": ended_wall_time}

    def single_record(self, replica: Any, kind: str) -> Any:
        return {
            "catalogue": {"types": replica.catalogue.value},
            "settings": replica.stored_settings.value,
            "format": {"format": replica.record_format.value},
        }[kind]


@cache
def present() -> Code:
    return PresentCode("present")


@cache
def production() -> Code:
    """The version that `deploy/service.toml` names as the one in production."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return _load(deploy["production"], ProductionCode, "production")


@cache
def served() -> Code:
    return _load(SERVED, Code, "served")


@cache
def before_shared_order() -> Code:
    """The last version whose controllers order a queue by times that each takes by itself."""
    return _load(BEFORE_SHARED_ORDER, PresentCode, "before shared order")


@cache
def baseline() -> Code:
    """The last version whose behaviour was changed on purpose."""
    return _load(BASELINE, PresentCode, "baseline")


@cache
def from_folder(folder: Path) -> Code:
    """A copy of the present package that lies in the folder."""
    present()
    return _import_from(str(folder), PresentCode, f"copy in {folder}")


_under_test: list[Code] = []


def under_test() -> Code:
    """The version that simulated clusters run, and are upgraded to, unless a scenario names
    another one: the present code, or what `put_under_test` chose for this process."""
    return _under_test[-1] if _under_test else present()


def put_under_test(code: Code) -> None:
    """From now on simulated clusters of this process run that version."""
    _under_test.append(code)


def _load(commit: str, adapter: type[Code], name: str) -> Code:
    """The code of a commit, imported beside the present one."""
    present()
    packed = subprocess.run(
        ["git", "archive", commit, "appledock"], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
            archive.extractall(folder, filter="data")
        return _import_from(folder, adapter, name)


def _import_from(folder: str, adapter: type[Code], name: str) -> Code:
    """The package that lies in the folder, imported beside the present one."""
    ours = {module: loaded for module, loaded in sys.modules.items() if _is_ours(module)}
    for module in ours:
        del sys.modules[module]
    sys.path.insert(0, folder)
    importlib.invalidate_caches()
    try:
        return adapter(name)
    finally:
        sys.path.remove(folder)
        for module in [module for module in sys.modules if _is_ours(module)]:
            _keep(sys.modules.pop(module), f"{module}@{name}")
        sys.modules.update(ours)


def _keep(module: ModuleType, new_name: str) -> None:
    """Register a module and its classes under another name.

    msgspec looks up the fields' types of a class in `sys.modules[cls.__module__]` when it
    first decodes one: it would find the present code's types there, which are not equal to
    those of the version itself.
    """
    old_name = module.__name__
    sys.modules[new_name] = module
    for value in vars(module).values():
        if isinstance(value, type) and value.__module__ == old_name:
            value.__module__ = new_name


def _is_ours(module: str) -> bool:
    return module.partition(".")[0] == "appledock"
