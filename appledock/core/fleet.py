"""The machines: what to rent and return. Decided by the leader alone."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from appledock import constants as c
from appledock import wire
from appledock.core import placement, quota
from appledock.core.budget import Priority
from appledock.core.events import CloudCall, CloudReply, PeerSend, Put, StoreReply, TxnPlan
from appledock.core.forecast import Forecast
from appledock.core.jobs import Job
from appledock.core.placement import Room
from appledock.core.replica import CATALOGUE

if TYPE_CHECKING:
    from appledock.core.engine import Engine

log = logging.getLogger(__name__)

Kind = tuple[str, str, bool]
"""type, zone, spot"""

SILENT = ("mute", "silent", "never came up")
"""reasons to delete a machine that end when it is heard of"""


@dataclass(slots=True)
class Rental:
    """A machine rented but perhaps neither listed nor heard of yet."""

    kind: Kind
    at: float


@dataclass(slots=True)
class Renting:
    """A rental request under way; repeated under the same name until answered."""

    name: str
    kind: Kind
    count: int
    tries: int = 0
    at: float = 0.0


@dataclass(slots=True)
class Returning:
    """A machine on its way out: cordoned, then deleted if still empty."""

    since: float
    why: str
    force: bool = False
    """delete even if it is not empty or does not answer"""
    calling: bool = False


class Supply:
    """Free room by class: how many machines have the same kind and the same left."""

    def __init__(self) -> None:
        self.rows: dict[tuple[Kind, float, float, float], tuple[Room, int]] = {}

    def add(self, room: Room, number: int) -> None:
        key = (
            (room.type.name, room.zone, room.spot),
            round(room.cpus, 3),
            round(room.gpus, 3),
            round(room.memory_gb, 2),
        )
        _, count = self.rows.get(key, (room, 0))
        self.rows[key] = (room, count + number)

    def count(self, spec: wire.JobSpec, zone: str) -> int:
        """How many tasks of this size fit in the zone."""
        return sum(
            room.count(spec) * number
            for room, number in self.rows.values()
            if room.zone == zone and placement.allowed_on(spec, room)
        )

    def take(self, spec: wire.JobSpec, tasks: int, zone: str | None = None) -> int:
        """Put up to `tasks` tasks on the rows, the tightest first; what is left."""
        rows = sorted(
            (
                (room.cpus, key)
                for key, (room, _) in self.rows.items()
                if placement.allowed_on(spec, room)
                and room.fits(spec)
                and zone in (None, room.zone)
            ),
            key=lambda row: (row[0], row[1]),
        )
        for _, key in rows:
            if tasks <= 0:
                break
            room, number = self.rows.pop(key)
            each = room.count(spec)
            full = min(number, tasks // each)
            tasks -= full * each
            self._rest(room, spec, each, full)
            if full < number and tasks > 0:
                self._rest(room, spec, tasks, 1)
                tasks, full = 0, full + 1
            if full < number:
                self.add(room, number - full)
        return tasks

    def _rest(self, room: Room, spec: wire.JobSpec, tasks: int, number: int) -> None:
        """What `number` such machines have left with `tasks` tasks on each."""
        if number > 0:
            left = Room(
                "", room.type, room.zone, room.spot, 0, room.cpus, room.gpus, room.memory_gb
            )
            left.take(spec, tasks)
            self.add(left, number)


class Warm:
    """Machines that a service could use at once, and what they offer together."""

    def __init__(
        self, rows: dict[str, tuple[float, frozenset[str]]], images: dict[str, float]
    ) -> None:
        self.rows = rows
        self.images = images
        self.cpus = sum(cpus for cpus, _ in rows.values())
        self.holders = {
            image: sum(image in held and cpus >= size for cpus, held in rows.values())
            for image, size in images.items()
        }

    def spare(self, name: str, cpus: float) -> bool:
        """Would the headroom still be there without this machine?"""
        row = self.rows.get(name)
        return row is None or (
            self.cpus - row[0] >= cpus
            and all(
                self.holders[image] - (row[0] >= size) >= 1
                for image, size in self.images.items()
                if image in row[1]
            )
        )

    def take(self, name: str) -> None:
        row = self.rows.pop(name, None)
        if row is not None:
            self.cpus -= row[0]
            for image, size in self.images.items():
                self.holders[image] -= image in row[1] and row[0] >= size


@dataclass(slots=True)
class Fleet:
    """Rents, watches and returns machines."""

    e: Engine
    listed: dict[str, wire.Machine] = field(default_factory=dict)
    listed_at: float = -1e9
    rentals: dict[str, Rental] = field(default_factory=dict)
    rented_at: dict[str, float] = field(default_factory=dict)
    """machines rented lately -> when; also after they were heard of"""
    renting: list[Renting] = field(default_factory=list)
    returning: dict[str, Returning] = field(default_factory=dict)
    refused: dict[Kind, float] = field(default_factory=dict)
    """kinds without capacity -> when to ask again"""
    arrivals: dict[str, tuple[float, wire.JobSpec]] = field(default_factory=dict)
    """services submitted lately -> when, on the steady clock, and what"""
    counter: int = 0
    cloud_pause: float = 0.0
    next_list: float = 0.0
    next_types: float = 0.0
    next_plan: float = 0.0
    next_drain: float = 0.0
    next_tell: float = 0.0
    listing: bool = False
    reading_types: bool = False
    read_version: int = -1
    led_since: float | None = None
    """when this controller began to lead, None while it does not"""

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        now = self.e.now
        if not self.e.loaded:
            return
        if self.e.membership.acting() and now >= self.next_drain:
            self.next_drain = now + c.FLEET_EVERY_S
            self._drain()
        leader = self.e.membership.leader()
        if leader and self.led_since is None:
            self.led_since = now
            self.next_list = now
            # The peers send their pictures first: a machine not heard of yet is
            # neither late nor missing.
            self.next_plan = now + c.LEADER_PAUSE_S
            self.returning.clear()
        if not leader:
            self.led_since = None
        if now < self.cloud_pause:
            return
        if (leader or not self.e.types) and now >= self.next_types and not self.reading_types:
            self._read_types()
        if not leader:
            return
        if now >= self.next_list and not self.listing:
            self._list()
        for request in self.renting:
            if now >= request.at:
                self._rent(request)
        if now >= self.next_plan and self.e.types:
            self.next_plan = now + c.FLEET_EVERY_S
            self.e.rooms.refresh()
            demand = self._demand()
            self._plan(demand)
            self._return(demand)

    def _trouble(self) -> None:
        """429 or outage: back off, with jitter against a herd."""
        self.cloud_pause = self.e.now + 0.5 + self.e.rng.random()

    # --- machine types ----------------------------------------------------
    def read_catalogue(self) -> None:
        """Types last seen by any controller, so that an outage of the cloud
        does not keep a restarted controller from deciding."""
        version, types = self.e.replica.catalogue
        if version == self.read_version:
            return
        self.read_version = version
        try:
            kinds = [msgspec.convert(kind, wire.MachineType) for kind in types]
        except msgspec.ValidationError as error:
            log.error("malformed catalogue: %s", error)
            return
        for kind in kinds:
            self.e.types.setdefault(kind.name, kind)
        self.e.rooms.touch_all()

    def _read_types(self) -> None:
        self.reading_types = True

        def done(reply: CloudReply) -> None:
            self.reading_types = False
            self.next_types = self.e.now + c.TYPES_EVERY_S
            if reply.outcome != "ok":
                self.next_types = self.e.now + 1.0 + self.e.rng.random()
                self._trouble()
                return
            before = self._shape(self.e.types.values())
            self.e.types = {kind.name: kind for kind in reply.data.types}
            self.e.rooms.touch_all()
            self.e.queue_dirty = True
            stored = {
                kind["hull"]: kind
                for kind in self.e.replica.catalogue[1]
                if isinstance(kind, dict) and "hull" in kind
            }
            if (self._shape(reply.data.types) != before or not stored) and (
                self.e.membership.leader()
            ):
                self._store_types()

        self.e.call(lambda tag: CloudCall(tag, "types", (), c.CLOUD_TIMEOUT_S), done)

    @staticmethod
    def _shape(types: Any) -> list[Any]:
        """Everything but the prices, which move all the time."""
        return sorted(
            (k.name, k.cpus, k.gpus, k.memory_gb, k.boot_s, tuple(k.zones)) for k in types
        )

    def _store_types(self) -> None:
        version = self.e.replica.catalogue[0]
        value = {"types": [msgspec.to_builtins(kind) for kind in self.e.types.values()]}
        if len(wire.encode(value)) > self.e.value_bytes:
            return

        def done(reply: StoreReply) -> None:
            if reply.outcome == "ok":
                self.e.replica.put(CATALOGUE, value, reply.data.revision)
            else:
                self.next_types = min(self.next_types, self.e.now + 5.0)

        self.e.store(
            "txn",
            (TxnPlan({CATALOGUE: version}, [Put(CATALOGUE, value)]),),
            Priority.PROGRESS,
            done,
        )

    # --- machine list -----------------------------------------------------
    def _list(self) -> None:
        self.listing = True
        found: dict[str, wire.Machine] = {}

        def page(after: str | None) -> None:
            def done(reply: CloudReply) -> None:
                if reply.outcome != "ok":
                    self.listing = False
                    self.next_list = self.e.now + c.LIST_EVERY_S
                    self._trouble()
                    return
                found.update((m.id, m) for m in reply.data.machines)
                if reply.data.more and reply.data.machines:
                    page(reply.data.machines[-1].id)
                    return
                self.listing = False
                self.next_list = self.e.now + c.LIST_EVERY_S
                self._listed(found)

            self.e.call(lambda tag: CloudCall(tag, "list", (after, 500), c.CLOUD_TIMEOUT_S), done)

        page(None)

    def _listed(self, found: dict[str, wire.Machine]) -> None:
        """The list lags: a missing row proves nothing, a failed machine is gone."""
        now = self.e.now
        self.listed, self.listed_at = found, now
        failed = [
            name
            for name, machine in found.items()
            if machine.state == wire.FAILED and name not in self.e.workers.gone
        ]
        if failed:
            self.announce_gone(failed)
        for name, machine in found.items():
            if machine.state == wire.FAILED and name not in self.returning:
                self.returning[name] = Returning(now - c.CORDON_S, "failed", True)
        lost = c.LOST_AFTER_S + 2 * self.e.settings.cluster.cloud.list_lag_s
        for name in [
            n
            for n, r in self.rentals.items()
            if n in self.e.workers.table or now - r.at > lost or n in self.e.workers.gone
        ]:
            if name in found or name in self.e.workers.table or now - self.rentals[name].at > lost:
                del self.rentals[name]

    def announce_gone(self, machines: list[str]) -> None:
        self.e.workers.set_gone(machines)
        for name in machines:
            self.rented_at.pop(name, None)
        self.e.emit(PeerSend({"kind": "gone", "machines": machines}))
        self.e.queue_dirty = True

    # --- renting ----------------------------------------------------------
    def booting(self) -> dict[str, tuple[Kind, float]]:
        """Machines paid for whose workers have not reported -> kind and age."""
        now = self.e.now
        result = {}
        for name, rental in self.rentals.items():
            if not self._heard(name) and name not in self.e.workers.gone:
                result[name] = (rental.kind, now - rental.at)
        for name, machine in self.listed.items():
            if (
                machine.state != wire.FAILED
                and not self._heard(name)
                and name not in self.e.workers.gone
            ):
                age = machine.age_s + now - self.listed_at
                result[name] = ((machine.type, machine.zone, machine.spot), age)
        return result

    def _heard(self, name: str) -> bool:
        worker = self.e.workers.table.get(name)
        return worker is not None and worker.report is not None

    def _late(self, kind: wire.MachineType | None) -> float:
        return max(c.BOOT_LATE_MIN_S, c.BOOT_LATE * (kind.boot_s if kind else 30.0))

    def _stuck(self, name: str, kind: Kind, age: float) -> bool:
        """Has the machine failed to come up? One listed as running may only be
        unknown to this controller, which perhaps leads since a moment ago."""
        if age <= self._late(self.e.types.get(kind[0])) or self.led_since is None:
            return False
        if name in self.e.replica.by_machine:
            # Somebody heard of it, or there would be no step: the list is late, and a
            # leader that has just got its lead back may go by one that is minutes old.
            return False
        machine = self.listed.get(name)
        if machine is not None and machine.state == wire.BOOTING:
            return True
        return self.e.now - self.led_since > c.UNHEARD_S

    def _plan(self, demand: list[tuple[Job, int]]) -> None:
        """Put the queue on what is up and booting; rent for what is left.

        Decided by classes: machines with the same room are one row, and a job
        takes of a row as many as it needs at once.
        """
        e = self.e
        if not demand:
            return
        supply, soon = Supply(), Supply()
        for room in e.rooms.open.values():
            supply.add(room, 1)
        for room in self._soon_free():
            soon.add(room, 1)
        booting = self.booting()
        for name, (kind, age) in booting.items():
            type_ = e.types.get(kind[0])
            if type_ is not None and name not in self.returning and age < self._late(type_) / 2:
                supply.add(_empty("", type_, kind), 1)
        for request in self.renting:
            type_ = e.types.get(request.kind[0])
            if type_ is not None:
                supply.add(_empty("", type_, request.kind), request.count)
        wanted: dict[Kind, int] = {}
        parts = (
            (job, *part) for job, tasks in demand for part in self._by_zone(job, tasks, supply)
        )
        for job, zone, tasks in parts:
            left = supply.take(job.spec, tasks, zone)
            if left and not job.spec.service:
                # No machine is rented for tasks that running work makes room for
                # before it could be up.
                left = soon.take(job.spec, left, zone)
            while left > 0:
                cheapest = self._cheapest(job.spec, left, zone)
                if cheapest is None:
                    break
                room = _empty("", e.types[cheapest[0]], cheapest)
                number = math.ceil(left / max(1, room.count(job.spec)))
                supply.add(room, number)
                rest = supply.take(job.spec, left, zone)
                if rest == left:
                    break
                left = rest
                wanted[cheapest] = wanted.get(cheapest, 0) + number
        room_left = (
            int(e.admin["machines_max"])
            - sum(w.report is not None for w in e.workers.table.values())
            - len(booting)
        )
        for kind, count in wanted.items():
            number = min(count, c.RENT_MAX, room_left)
            if number > 0:
                room_left -= number
                self._new_rent(kind, number)

    def _by_zone(self, job: Job, tasks: int, supply: Supply) -> list[tuple[str | None, int]]:
        """How many of the tasks to provide for in which zone (None: wherever).

        Guards against rooms of two zones that count as one: a service that must be in one
        zone waited for ever, with room for half of it in each and nothing rented, and so
        did half of a service that may not be in one.
        """
        spec = job.spec
        if not (spec.one_zone or spec.spread):
            return [(None, tasks)]
        held = self.e.steps.zones(job) or {}
        free = {
            zone: supply.count(spec, zone)
            for kind in self.e.types.values()
            if placement.type_fits(spec, kind)
            for zone in kind.zones
            if spec.zone in (None, zone)
        }
        # Those with most room first, and then those where machines are to be had.
        zones = sorted(
            free,
            key=lambda zone: (
                -min(free[zone], tasks),
                self._cheapest(spec, tasks, zone) is None,
                zone,
            ),
        )
        cap = placement.zone_cap(spec)
        if spec.one_zone:
            bound = [zone for zone in zones if held.get(zone)]
            zones = (
                bound
                or [
                    zone
                    for zone in zones
                    if free[zone] >= tasks or self._cheapest(spec, tasks, zone) is not None
                ][:1]
            )
        parts = dict.fromkeys(zones, 0)
        rented = sorted(zones, key=lambda zone: self._cheapest(spec, tasks, zone) is None)
        for order, most in ((zones, free), (rented, None)):
            for zone in order:
                number = min(tasks, cap - held.get(zone, 0) - parts[zone])
                if most is not None:
                    number = min(number, most[zone])
                parts[zone] += max(0, number)
                tasks -= max(0, number)
        return [(zone, number) for zone, number in parts.items() if number]

    def _soon_free(self) -> Iterator[Room]:
        """What arrays at work give back while a machine would boot and fetch."""
        e = self.e
        for name, room in e.rooms.table.items():
            worker = e.workers.table[name]
            cpus = gpus = memory = 0.0
            for job_id, attempts in e.replica.by_machine.get(name, {}).items():
                spec = e.replica.jobs[job_id].spec
                if spec.service or spec.estimate_s <= 0:
                    continue
                horizon = room.type.boot_s + (
                    spec.image_gb / room.type.fetch_gb_per_s
                    if room.type.fetch_gb_per_s > 0
                    else 0.0
                )
                for attempt in attempts:
                    for task in attempt.tasks:
                        since = worker.since.get((f"{job_id}/{task}", attempt.number))
                        if since is None:
                            continue
                        ran = e.now - since
                        left = spec.estimate_s - ran
                        if left < 0:  # longer than estimated: it may be as long again
                            left = ran - spec.estimate_s
                        if left < horizon * c.SOON_SHARE:
                            cpus, gpus = cpus + spec.cpus, gpus + spec.gpus
                            memory += spec.memory_gb
            if cpus > 0 or gpus > 0:
                yield Room("", room.type, room.zone, room.spot, 0, cpus, gpus, memory)

    def _demand(self) -> list[tuple[Job, int]]:
        """Queued tasks that their teams' limits admit, most urgent first, and then those
        of jobs that will be ready soon."""
        e = self.e
        held: dict[str, quota.Amounts] = {}
        result = []
        queued = sorted(
            (e.replica.jobs[j] for j in e.replica.queued),
            key=lambda job: (e.steps.urgency(job), job.id),
        )
        for job in queued + Forecast(e).upcoming():
            limits = e.teams.get(job.spec.team)
            if limits is None or not any(
                placement.type_fits(job.spec, kind) for kind in e.types.values()
            ):
                continue
            if job.failures >= 3:
                continue  # a job that fails everywhere is not worth machines
            used = held.get(job.spec.team)
            if used is None:
                used = e.quota.held_in_all(job.spec.team)
            tasks = min(
                job.queued,
                4 * c.RENT_MAX,
                (quota.limit(limits) - used).most(quota.NOTHING).count(job.spec),
            )
            if tasks:
                held[job.spec.team] = used + quota.need(job.spec, tasks)
                result.append((job, tasks))
        return result

    def _cheapest(self, spec: wire.JobSpec, tasks: int, only: str | None = None) -> Kind | None:
        """The kind that costs least per task, among those not refused lately. `only`:
        in this zone."""
        best: tuple[float, Kind] | None = None
        for type_ in self.e.types.values():
            if not placement.type_fits(spec, type_):
                continue
            for zone in type_.zones:
                if spec.zone not in (None, zone) or only not in (None, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    kind = (type_.name, zone, spot)
                    if self.refused.get(kind, 0.0) > self.e.now:
                        continue
                    fit = min(tasks, _empty("", type_, kind).count(spec))
                    price = (type_.spot_price if spot else type_.price) / max(1, fit)
                    if best is None or (price, kind) < best:
                        best = (price, kind)
        return best[1] if best else None

    def _new_rent(self, kind: Kind, count: int) -> None:
        self.counter += 1
        # Never used twice, by nobody: term, incarnation and a counter.
        name = f"r-{self.e.membership.term}-{self.e.membership.incarnation}-{self.counter}"
        request = Renting(name, kind, count)
        self.renting.append(request)
        self._rent(request)

    def _rent(self, request: Renting) -> None:
        request.at = 1e18
        request.tries += 1
        body = wire.Rent(request.name, *request.kind, count=request.count)

        def done(reply: CloudReply) -> None:
            if reply.outcome == "unknown" and request.tries < 4:
                request.at = self.e.now + 0.5 + self.e.rng.random()
                return
            self.renting.remove(request)
            if reply.outcome == "ok":
                log.info("rented %s: %s", request.kind, reply.data.machines)
                self._rented(list(reply.data.machines), request.kind)
                self.e.emit(
                    PeerSend(
                        {
                            "kind": "rented",
                            "machines": reply.data.machines,
                            "type": list(request.kind),
                        }
                    )
                )
                if len(reply.data.machines) < request.count:
                    self.refused[request.kind] = self.e.now + c.NO_CAPACITY_S
            elif reply.outcome == "full":
                log.info("no capacity for %s", request.kind)
                self.refused[request.kind] = self.e.now + c.NO_CAPACITY_S
                self.next_plan = self.e.now
            else:
                self._trouble()

        self.e.call(lambda tag: CloudCall(tag, "rent", (body,), c.CLOUD_TIMEOUT_S), done)

    def _rented(self, machines: list[str], kind: Kind) -> None:
        for name in machines:
            self.rentals[name] = Rental(kind, self.e.now)
            self.rented_at[name] = self.e.now

    # --- returning --------------------------------------------------------
    def empty(self, name: str) -> bool:
        """No open attempt is recorded there, and no task shows in its report."""
        if name in self.e.replica.by_machine:
            return False
        worker = self.e.workers.table.get(name)
        if worker is None or worker.report is None:
            return True
        return name not in self.e.rooms.reserved_on and all(
            t.state == wire.EXITED for t in worker.report.tasks
        )

    def _calm(self) -> bool:
        """Are most workers heard of, and our own by ourselves? If not, the trouble is
        ours or the network's."""
        near = 2 * self.e.settings.cluster.workers.report_s
        heard = [self.e.now - w.well_at < near for w in self.e.workers.table.values() if w.report]
        # Guards against a leader that alone has lost its workers: the others still
        # hear of them, only its own questions stay without an answer, and it once
        # deleted a fifth of the fleet as mute.
        return (
            sum(heard) >= c.CALM_SHARE * len(heard)
            and self.e.workers.reporting() >= c.REPORTING_SHARE
        )

    def _suspect(self) -> None:
        """Replicas on a machine that fell silent come back sooner if the machine
        is deleted than if its lease is waited for. Not while many are silent (see
        `_calm`): then the trouble is ours, or the network's."""
        e, now = self.e, self.e.now
        report_s = e.settings.cluster.workers.report_s
        # Asked at once, but deleted only by a leader that knows its way: one just
        # elected in a crash had to wait for the answers as well, two seconds more.
        sure = now - e.membership.acting_since >= c.CALM_S
        for name, worker in e.workers.table.items():
            # Silent, or deaf: its reports arrive and our answers do not.
            silent = now - worker.well_at
            if (
                worker.report is None
                or name in self.returning
                or name in e.workers.gone
                or silent < c.SUSPECT_REPORTS * report_s
                or not any(
                    e.replica.jobs[j].spec.service for j in e.replica.by_machine.get(name, ())
                )
            ):
                continue
            mute = worker.well_at < worker.mute_at and (now - worker.mute_at < 2 * c.SHOW_EVERY_S)
            if sure and mute and silent > c.MUTE_S * report_s:
                log.warning("%s silent for %.1f s and mute: deleting it", name, silent)
                self.returning[name] = Returning(now - c.CORDON_S, "mute", True)
            elif now >= worker.show_at and not worker.calling:
                e.workers.show(worker)

    def note(self, job: Job) -> None:
        """A record changed: arrivals of services tell what headroom they need."""
        if job.spec.service and job.id not in self.arrivals:
            self.arrivals[job.id] = (self.e.now - max(0.0, self.e.wall - job.submitted), job.spec)

    def _headroom(self) -> tuple[float, dict[str, float]]:
        """Cores to keep for services that come while a machine would boot and
        fetch, and the images asked for lately with the cores of one task."""
        e = self.e
        window = c.HEADROOM_WINDOW_S
        self.arrivals = {job: row for job, row in self.arrivals.items() if e.now - row[0] < window}
        images: dict[str, float] = {}
        cpus = 0.0
        for _, spec in self.arrivals.values():
            kinds = [kind for kind in e.types.values() if placement.type_fits(spec, kind)]
            if not kinds:
                continue
            wait = min(
                kind.boot_s
                + (spec.image_gb / kind.fetch_gb_per_s if kind.fetch_gb_per_s > 0 else 0.0)
                for kind in kinds
            )
            cpus += spec.cpus * spec.tasks * wait / window
            images[spec.image] = max(images.get(spec.image, 0.0), spec.cpus)
        return cpus + max(images.values(), default=0.0), images

    def _warm(self, images: dict[str, float]) -> Warm:
        """Ordinary machines with an image in demand: cores that a service could
        get there at once, free or held by work that makes way for it."""
        rows = {}
        jobs = self.e.replica.jobs
        for room in self.e.rooms.table.values():
            if room.spot or not room.images & images.keys():
                continue
            cpus = max(0.0, room.cpus)
            for job_id, attempts in self.e.replica.by_machine.get(room.machine, {}).items():
                spec = jobs[job_id].spec
                if spec.rank < wire.RANKS["production"] and not spec.gang:
                    cpus += sum(spec.cpus * len(a.tasks) for a in attempts)
            rows[room.machine] = (cpus, frozenset(room.images))
        return Warm(rows, images)

    def _tell(self, headroom: float, warm: Warm) -> None:
        """What the machines do, for whoever reads the log for the costs."""
        e, now = self.e, self.e.now
        if now < self.next_tell:
            return
        self.next_tell = now + c.TELL_EVERY_S
        up = [w for w in e.workers.table.values() if w.report is not None]
        idle = [w for w in up if w.idle_since]
        rooms = e.rooms.table.values()
        log.info(
            "fleet: %d up, %d booting, %d returning; %d idle: %d just so, %d not paid for, "
            "%d not settled, %d kept warm; cores %.0f, free %.0f; warm %.0f of %.0f wanted",
            len(up),
            len(self.booting()),
            len(self.returning),
            len(idle),
            sum(now - w.idle_since <= e.admin["idle_return_s"] for w in idle),
            sum(not self._paid_for(w.id) for w in idle),
            sum(not self.empty(w.id) for w in idle),
            sum(not warm.spare(w.id, headroom) for w in idle),
            sum(room.type.cpus for room in rooms),
            sum(max(0.0, room.cpus) for room in rooms),
            warm.cpus,
            headroom,
        )

    def _return(self, demand: list[tuple[Job, int]]) -> None:
        e, now = self.e, self.e.now
        calm = self._calm()
        if calm:
            self._suspect()
        headroom, images = self._headroom()
        warm = self._warm(images)
        self._tell(headroom, warm)
        queue = [job.spec for job, _ in demand]
        for name, (kind, age) in self.booting().items():
            if self._stuck(name, kind, age) and name not in self.returning:
                log.warning("%s has not come up within %.0f s", name, age)
                self.returning[name] = Returning(now - c.CORDON_S, "never came up", True)
        for name, worker in e.workers.table.items():
            if name in self.returning or worker.report is None or name in e.workers.gone:
                continue
            if (
                worker.cordoned in ("drain", "faulty")
                and self.empty(name)
                and e.pulse.reached(e.replica.owner_of(name))
            ):
                self._cordon(name, worker.cordoned)
            elif (
                worker.idle_since
                and now - worker.idle_since > e.admin["idle_return_s"]
                and self._paid_for(name)
                and worker.cordoned != "operator"
                and now - worker.heard_at < 5.0
                and self.empty(name)
                and e.pulse.reached(e.replica.owner_of(name))
                and not self._asked_for(name, queue)
                and warm.spare(name, headroom)
            ):
                warm.take(name)
                self._cordon(name, "idle")
            elif (
                now - worker.heard_at > c.SILENT_DELETE_S
                and calm
                and (worker.lapsed >= worker.session or name not in e.replica.by_machine)
            ):
                self.returning[name] = Returning(now - c.CORDON_S, "silent", True)
        ready = []
        for name, item in list(self.returning.items()):
            if item.calling or now < item.since + c.CORDON_S:
                continue
            back = e.workers.table.get(name)
            if item.why in SILENT and back is not None and (back.well_at > item.since + c.CORDON_S):
                # Guards against an outage of the cloud: the machine is well again, with
                # all that runs on it, when the deletion could go out at last.
                del self.returning[name]
                continue
            if not item.force and not self.empty(name):
                del self.returning[name]
                self._uncordon(name)
                continue
            ready.append(name)
        if ready:
            self._delete(ready[: c.DELETE_MAX])

    def _asked_for(self, name: str, queue: list[wire.JobSpec]) -> bool:
        """Could a queued task run there? Steps may only be waiting for their write."""
        room = self.e.rooms.table.get(name)
        return room is not None and any(
            placement.allowed_on(spec, room) and room.fits(spec) for spec in queue
        )

    def _paid_for(self, name: str) -> bool:
        """Has the least charge been used up? Before, returning saves nothing."""
        rented = self.rented_at.get(name)
        return rented is None or self.e.now - rented > c.MIN_CHARGE_S - c.CORDON_S

    def _cordon(self, name: str, why: str) -> None:
        self.returning[name] = Returning(self.e.now, why)
        self._set_cordon(name, why)
        self.e.emit(PeerSend({"kind": "cordon", "worker": name, "why": why}))

    def _uncordon(self, name: str) -> None:
        self._set_cordon(name, "")
        self.e.emit(PeerSend({"kind": "cordon", "worker": name, "why": ""}))

    def _delete(self, names: list[str]) -> None:
        for name in names:
            item = self.returning[name]
            item.calling = True
            if item.why == "idle" and self.e.now - item.since > c.CORDON_LAPSE_S / 3:
                # The cloud is in trouble: nothing should be placed there meanwhile.
                item.since = self.e.now - c.CORDON_S
                self.e.emit(PeerSend({"kind": "cordon", "worker": name, "why": item.why}))

        def done(reply: CloudReply) -> None:
            for name in names:
                item = self.returning.get(name)
                if item is not None:
                    item.calling = False
            if reply.outcome == "ok":
                log.info(
                    "deleted %s",
                    {name: self.returning[name].why for name in names if name in self.returning},
                )
                self.deleted(names)
            else:
                self._trouble()

        self.e.call(lambda tag: CloudCall(tag, "delete", (names,), c.CLOUD_TIMEOUT_S), done)

    def deleted(self, names: list[str]) -> None:
        """The cloud has confirmed the deletion."""
        for name in names:
            self.returning.pop(name, None)
            self.rentals.pop(name, None)
            self.listed.pop(name, None)
        self.announce_gone(names)

    # --- from others ------------------------------------------------------
    def task_failed(self, machine: str, job: str) -> None:
        """Machines on which different jobs fail are set aside and returned."""
        worker = self.e.workers.table.get(machine)
        if worker is None:
            return
        worker.failed_jobs.add(job)
        if len(worker.failed_jobs) >= c.ERRORS_OF_JOBS and not worker.cordoned:
            log.warning("%s set aside: tasks of %s failed", machine, sorted(worker.failed_jobs))
            self._set_cordon(machine, "faulty")
            self.e.emit(PeerSend({"kind": "cordon", "worker": machine, "why": "faulty"}))

    def operate(self, name: str, action: str) -> None:
        """Cordon, release or drain a machine, as an operator asked."""
        why = {"cordon": "operator", "uncordon": "", "drain": "drain"}[action]
        self.e.emit(PeerSend({"kind": "cordon", "worker": name, "why": why}))
        self._set_cordon(name, why)

    def _set_cordon(self, name: str, why: str) -> None:
        worker = self.e.workers.table.get(name)
        if worker is not None:
            worker.cordoned, worker.cordoned_at = why, self.e.now
            self.e.rooms.touch(name)
            self.e.queue_dirty = True

    def _drain(self) -> None:
        """Machines an operator wants emptied: work of ours is stopped with its
        grace and moves on; the leader returns the machine once it is empty. From
        a machine about to be taken, only work goes that can save itself: the rest
        would lose nothing by running on."""
        for name, worker in self.e.workers.table.items():
            if (
                worker.cordoned == "idle"
                and self.e.now - worker.cordoned_at > c.CORDON_LAPSE_S
                and not (self.led_since is not None and name in self.returning)
            ):
                # Guards against room lost for ever: a leader that ended or was replaced
                # within that second, or a link that lost the word that it may be used.
                self._set_cordon(name, "")
            taken = worker.report is not None and worker.report.notice_s is not None
            if worker.cordoned != "drain" and not taken:
                continue
            for job_id, attempts in self.e.replica.by_machine.get(name, {}).items():
                job = self.e.replica.jobs[job_id]
                if worker.cordoned != "drain" and job.spec.checkpoint_s <= 0:
                    continue
                tasks = {
                    task for attempt in attempts if not attempt.stopping for task in attempt.tasks
                }
                if tasks and self.e.owns_job(job):
                    self.e.steps.stop(job_id, name, tasks)

    def on_peer(self, message: dict[str, Any]) -> None:
        if message["kind"] == "rented":
            type_, zone, spot = message["type"]
            self._rented(
                [str(name) for name in message["machines"]], (str(type_), str(zone), bool(spot))
            )
        elif message["kind"] == "cordon":
            self._set_cordon(str(message["worker"]), str(message["why"]))

    def greet(self, name: str) -> None:
        """A link opened: the peer may lead soon and must know our rentals."""
        kinds: dict[Kind, list[str]] = {}
        for machine, rental in self.rentals.items():
            kinds.setdefault(rental.kind, []).append(machine)
        for worker in self.e.workers.table.values():
            if worker.cordoned and (
                worker.cordoned != "idle"
                or (self.led_since is not None and worker.id in self.returning)
            ):
                self.e.emit(
                    PeerSend({"kind": "cordon", "worker": worker.id, "why": worker.cordoned}, name)
                )
        for kind, machines in kinds.items():
            self.e.emit(
                PeerSend({"kind": "rented", "machines": machines, "type": list(kind)}, name)
            )


def _empty(name: str, type_: wire.MachineType, kind: Kind) -> Room:
    return Room(name, type_, kind[1], kind[2], 0, type_.cpus, type_.gpus, type_.memory_gb)
