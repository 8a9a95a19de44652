"""The platform's settings file: read, checked, unknown fields ignored."""

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
    """The settings file cannot be used; the text says why in one line."""


class Peer(Struct, frozen=True):
    """Another controller."""

    name: Name = msgspec.field(name="node_name")
    address: Address = msgspec.field(name="endpoint")
    zone: str = msgspec.field(name="location", default="")


class ExternalAddresses(Struct, frozen=True):
    """Addresses of the outside systems."""

    cloud: Address
    state: Address


class TeamLimits(Struct, frozen=True):
    """A team's guarantees and limits."""

    name: Name
    cpus: NonNegative
    cpus_max: NonNegative
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct, frozen=True):
    """What the platform is judged by."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimes(Struct, frozen=True):
    """Times that workers keep to."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class AnnouncedStoreLimits(Struct, frozen=True):
    """Limits announced for some later moment; what is missing stays as it is."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=3)] | None = None


class StoreLimits(Struct, frozen=True):
    """Limits of the state service.

    Announced ones hold from some moment on without notice, so of each two the smaller one is
    kept to from the start (see `parse`).
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=3)]
    next: AnnouncedStoreLimits | None = None

    def effective(self) -> StoreLimits:
        """The limits to keep to, of the present and the announced ones."""
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
    """Limits of the cloud."""

    rps: Positive
    list_lag_s: NonNegative


class MachineLimits(Struct, frozen=True):
    """What one controller may use of its machine."""

    core_share: Positive = 1.0
    ram_mb: Positive = 1024.0
    fd_limit: Annotated[int, Meta(ge=150)] = 1024


class Cluster(Struct, frozen=True):
    """What is the same for all controllers."""

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
    """One controller's settings."""

    name: Name = msgspec.field(name="node_name")
    listen: Address = msgspec.field(name="public_addr")
    peer_listen: Address = msgspec.field(name="back")
    external: ExternalAddresses
    cluster: Cluster
    peers: list[Peer] = []
    zone: str = msgspec.field(name="location", default="")


def split_address(address: str) -> tuple[str, int]:
    """`10.0.0.1:80` as host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse(raw: bytes) -> Settings:
    """Check the bytes of a settings file."""
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
    """Read and check a settings file."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from None
    return parse(raw)
