"""Reads and checks the settings file of the platform.

Unknown fields are ignored. Where a field's name in the file differs from the attribute,
`msgspec.field(name=...)` gives the name in the file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^\S+$")]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class SettingsError(Exception):
    """The settings file cannot be used; the message gives the reason in one line."""


class Peer(Struct, frozen=True):
    """Name, address and zone of another controller."""

    name: Name = msgspec.field(name="node_name")
    address: Address = msgspec.field(name="endpoint")
    zone: str = msgspec.field(name="location", default="")


class ExternalAddresses(Struct, frozen=True):
    """Addresses of the external systems."""

    cloud: Address
    state: Address
    """address of the key-value store"""


class TeamLimits(Struct, frozen=True):
    """The guaranteed quota and the limits of a team.

    `cpus` and `gpus` are guaranteed; `cpus_max` and `gpus_max` are the limits.
    """

    name: Name
    cpus: NonNegative
    cpus_max: NonNegative
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct, frozen=True):
    """A service-level objective of the platform; see `ObjectiveKind` for the kinds."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    """job class that the objective applies to; None for every class"""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None
    """limit as a multiple of the job's own deadline"""


class WorkerTimes(Struct, frozen=True):
    """Intervals and timeouts of the workers and their tasks, in seconds."""

    report_s: Positive
    """interval between two heartbeats of a worker"""
    lease_s: Positive
    """duration of a worker's lease: a worker that gets no answer from its owner for this long stops
    its tasks"""
    cancel_s: Positive
    """time within which the tasks of a cancelled job must have ended"""


class AnnouncedStoreLimits(Struct, frozen=True):
    """Limits of the store that are announced for a later time; None for a limit that stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=3)] | None = None


class StoreLimits(Struct, frozen=True):
    """Limits of the key-value store.

    Announced limits come into force at an unknown time, without notice. The smaller one of each
    present and announced limit is therefore used from the start (see `parse`).
    """

    rps: Positive
    """requests per second"""
    write_rps: Positive
    """writes per second"""
    value_kb: Positive
    """largest size of a value, in KiB"""
    txn_ops: Annotated[int, Meta(ge=3)]
    """largest number of writes in a transaction; it may have four times as many conditions"""
    next: AnnouncedStoreLimits | None = None

    def effective(self) -> StoreLimits:
        """Return the limits to observe: the smaller one of each present and announced limit."""
        if self.next is None:
            return self
        return msgspec.structs.replace(
            self,
            **{
                name: min(getattr(self, name), value)
                for name, value in msgspec.structs.asdict(self.next).items()
                if value is not None
            },
        )


class CloudLimits(Struct, frozen=True):
    """Limits of the cloud API."""

    rps: Positive
    """requests per second"""
    list_lag_s: NonNegative
    """time (s) by which the list of machines may be out of date"""


class MachineLimits(Struct, frozen=True):
    """Resources that one controller may use on its machine."""

    core_share: Positive = 1.0
    ram_mb: Positive = 1024.0
    fd_limit: Annotated[int, Meta(ge=150)] = 1024
    """open file descriptors"""


class Cluster(Struct, frozen=True):
    """Settings that are the same for all controllers."""

    size: Count
    teams: list[TeamLimits]
    workers: WorkerTimes
    state: StoreLimits
    cloud: CloudLimits
    zones: list[str] = []
    objectives: list[Objective] = []
    limits: MachineLimits = msgspec.field(name="machine_limits", default_factory=MachineLimits)
    time_bound_ms: NonNegative = 1000.0


class Settings(Struct, frozen=True):
    """Settings of one controller."""

    name: Name = msgspec.field(name="node_name")
    listen: Address = msgspec.field(name="public_addr")
    """address for users, operators and workers"""
    peer_listen: Address = msgspec.field(name="back")
    """address for connections from peers"""
    external: ExternalAddresses
    cluster: Cluster
    peers: list[Peer] = []
    zone: str = msgspec.field(name="location", default="")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address such as `10.0.0.1:80`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse(raw: bytes) -> Settings:
    """Return the settings in the bytes of a settings file.

    The limits of the store are the smaller ones of the present and the announced limits.

    Raises:
        SettingsError: If the settings are not valid.
    """
    try:
        settings = msgspec.json.decode(raw, type=Settings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(str(error)) from None
    names = [settings.name, *(peer.name for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError("node names are not unique - at `$.peers`")
    if len({team.name for team in settings.cluster.teams}) != len(settings.cluster.teams):
        raise SettingsError("team names are not unique - at `$.cluster.teams`")
    for address in (
        settings.listen,
        settings.peer_listen,
        *(p.address for p in settings.peers),
        settings.external.cloud,
        settings.external.state,
    ):
        host, port = split_address(address)
        if not 0 < port < 65536 or any(int(part) > 255 for part in host.split(".")):
            raise SettingsError(f"not an IPv4 address with port: {address}")
    cluster = msgspec.structs.replace(settings.cluster, state=settings.cluster.state.effective())
    return msgspec.structs.replace(settings, cluster=cluster)


def load(path: str | Path) -> Settings:
    """Read a settings file and return its settings.

    Raises:
        SettingsError: If the file cannot be read or its settings are not valid.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from None
    return parse(raw)
