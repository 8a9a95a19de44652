"""Operators' changes of the agreed fractions of machines: propose, apply and withdraw."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from appledock import constants
from appledock.capacity.apportion import apportion
from appledock.capacity.assignment import MachineUse
from appledock.capacity.settings import (
    Capacity,
    CapacityError,
    MachineFractions,
    check_fractions,
)
from appledock.core.capacity.machine_usage import MachineUsage
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.capacity.summary import PartitionSummary
from appledock.core.commands import AdminRequest
from appledock.core.effects import Response
from appledock.core.records.capacity import AGREED_FRACTIONS_KEY, AgreedFractions
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Put,
    StoreOutcome,
    Transaction,
    UnknownOutcome,
)


class CapacityAction(enum.StrEnum):
    """A requested action; its value is the last segment of the request's path."""

    PROPOSE = "propose"
    """Dry run: forecasts the effects of a change."""
    APPLY = "apply"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class FractionChange:
    """A validated request for new fractions."""

    request_id: str
    expected_version: int | None
    """Version that the agreed fractions must have before the change; None: any version."""
    fractions: MachineFractions
    deadline_s: float | None
    """Seconds after which tasks with checkpoints may be stopped for the change; None: never."""


class InvalidChangeError(ValueError):
    """A request that cannot be carried out; the message says what is wrong."""


class PartitionSharesApi:
    """Changes the single record of the agreed fractions with conditional transactions.

    Each request gets one response: 200, 400 (invalid), 404 (capacity shares are disabled), 409
    (another version is stored) or 503 (no answer from the store). A request whose id is already in
    the record is answered with 200 and has no further effect.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        partitions: PartitionMap,
        usage: MachineUsage,
        summary: PartitionSummary,
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._partitions = partitions
        self._usage = usage
        self._summary = summary

    def handle(self, request: AdminRequest, action: str) -> None:
        """Carry out and answer a request; `action` is a value of `CapacityAction`."""
        settings = self._partitions.settings
        if settings is None:
            self._respond(request, {"error": "capacity shares are off"}, 404)
            return
        try:
            self._carry_out(request, CapacityAction(action), settings)
        except (InvalidChangeError, CapacityError) as error:
            self._respond(request, {"error": str(error)}, 400)

    def _carry_out(self, request: AdminRequest, action: CapacityAction, settings: Capacity) -> None:
        match action:
            case CapacityAction.PROPOSE:
                change = self._parse_change(request.body, settings)
                self._respond(request, self._forecast(change.fractions, settings))
            case CapacityAction.APPLY:
                self._apply(request, self._parse_change(request.body, settings))
            case CapacityAction.WITHDRAW:
                self._apply(request, self._parse_withdrawal(request.body))

    def _respond(self, request: AdminRequest, body: dict[str, Any], status: int = 200) -> None:
        headers = {"Retry-After": str(constants.RETRY_AFTER_S)} if status == 503 else None
        self._runtime.emit(Response(request.request_id, status, body, headers))

    def _respond_applied(self, request: AdminRequest) -> None:
        self._respond(request, self._summary.as_json())

    def _respond_unavailable(self, request: AdminRequest) -> None:
        self._respond(request, {"error": "state service does not answer"}, 503)

    # --- parsing ------------------------------------------------------------
    def _parse_change(self, body: Any, settings: Capacity) -> FractionChange:
        """Return the agreed fractions updated with those of the request.

        Raises:
            InvalidChangeError or CapacityError: the request is invalid.
        """
        if not isinstance(body, dict):
            raise InvalidChangeError("an object is needed")
        requested = body.get("shares")
        if not isinstance(requested, dict) or not all(
            isinstance(by_pool, dict) for by_pool in requested.values()
        ):
            raise InvalidChangeError(
                "shares: an object of objects is needed, partition to pool to share"
            )
        agreed = self._partitions.agreed_fractions()
        fractions = {name: dict(by_pool) for name, by_pool in agreed.items()}
        for name, by_pool in requested.items():
            fractions.setdefault(name, {}).update(by_pool)
        check_fractions(settings, fractions)
        return FractionChange(*_parse_id_and_version(body), fractions, _parse_deadline(body))

    def _parse_withdrawal(self, body: Any) -> FractionChange:
        """Return a change back to the fractions before the last change.

        Raises:
            InvalidChangeError: the request is invalid, or there was no change.
        """
        if not isinstance(body, dict):
            raise InvalidChangeError("an object is needed")
        agreed = self._replica.capacity.agreed_fractions
        if agreed is None:
            raise InvalidChangeError("nothing was changed that could be withdrawn")
        return FractionChange(*_parse_id_and_version(body), agreed.previous_fractions, None)

    # --- dry run ------------------------------------------------------------
    def _forecast(self, fractions: MachineFractions, settings: Capacity) -> dict[str, Any]:
        """Return which machines a change would drain, and the estimated time for this."""
        return {
            "shares": fractions,
            "pools": {
                pool.name: self._forecast_pool(pool.name, fractions) for pool in settings.pools
            },
        }

    def _forecast_pool(self, pool: str, fractions: MachineFractions) -> dict[str, Any]:
        uses = self._usage.of_pool(pool)
        target = apportion(
            len(uses), {name: by_pool.get(pool, 0.0) for name, by_pool in fractions.items()}
        )
        return {name: _forecast_partition(name, target[name], uses) for name in fractions}

    # --- writing ------------------------------------------------------------
    def _apply(self, request: AdminRequest, change: FractionChange) -> None:
        if self._is_applied(change):
            self._respond_applied(request)
            return
        version = self._agreed_version()
        if change.expected_version not in (None, version):
            self._respond_conflict(request, change)
            return
        deadline_s = change.deadline_s
        record = AgreedFractions(
            version,
            change.request_id,
            change.fractions,
            self._partitions.agreed_fractions(),
            None if deadline_s is None else self._runtime.wall_time + deadline_s,
        ).encode()

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    self._replica.put(AGREED_FRACTIONS_KEY, record, outcome.revision)
                    self._respond_applied(request)
                case Conflict() | UnknownOutcome():
                    self._read_and_respond(request, change)
                case _:
                    self._respond_unavailable(request)

        self._client.submit(
            Transaction({AGREED_FRACTIONS_KEY: version}, [Put(AGREED_FRACTIONS_KEY, record)]),
            Priority.USER,
            on_outcome,
            constants.REQUEST_TIMEOUT_S,
        )

    def _is_applied(self, change: FractionChange) -> bool:
        agreed = self._replica.capacity.agreed_fractions
        return agreed is not None and agreed.request_id == change.request_id

    def _agreed_version(self) -> int:
        return self._replica.capacity.version(AGREED_FRACTIONS_KEY)

    def _read_and_respond(self, request: AdminRequest, change: FractionChange) -> None:
        """Read the record and respond, after a conflict or a write whose outcome is unknown."""

        def on_read() -> None:
            if self._is_applied(change):
                self._respond_applied(request)
            else:
                self._respond_conflict(request, change)

        self._reader.read_keys(
            [AGREED_FRACTIONS_KEY], on_read, lambda: self._respond_unavailable(request)
        )

    def _respond_conflict(self, request: AdminRequest, change: FractionChange) -> None:
        """Respond with the present version and the fractions that differ from the request."""
        present = self._partitions.agreed_fractions()
        differences = {
            f"{name}.{pool}": {"present": present.get(name, {}).get(pool, 0.0), "asked": fraction}
            for name, by_pool in change.fractions.items()
            for pool, fraction in by_pool.items()
            if present.get(name, {}).get(pool, 0.0) != fraction
        }
        body = {
            "error": "the shares were changed meanwhile",
            "version": self._agreed_version(),
            "differs": differences,
        }
        self._respond(request, body, 409)


def _parse_id_and_version(body: dict[str, Any]) -> tuple[str, int | None]:
    """Return the request id and the expected version."""
    request_id, version = body.get("request"), body.get("version")
    max_length = constants.REQUEST_ID_LENGTH_MAX
    if not isinstance(request_id, str) or not 1 <= len(request_id) <= max_length:
        raise InvalidChangeError(f"request: a text of 1 to {max_length} characters is needed")
    if version is not None and (isinstance(version, bool) or not isinstance(version, int)):
        raise InvalidChangeError("version: an integer is needed")
    return request_id, version


def _parse_deadline(body: dict[str, Any]) -> float | None:
    deadline_s = body.get("deadline_s")
    if deadline_s is None:
        return None
    if isinstance(deadline_s, bool) or not isinstance(deadline_s, int | float):
        raise InvalidChangeError("deadline_s: a number is needed")
    if not 0 <= deadline_s <= constants.DEADLINE_MAX_S:
        raise InvalidChangeError(f"deadline_s: allowed are 0 to {constants.DEADLINE_MAX_S:g}")
    return float(deadline_s)


def _forecast_partition(name: str, target: int, uses: list[MachineUse]) -> dict[str, Any]:
    """Return what one partition would give up; the machines that drain fastest go first."""
    owned = sorted(
        (use for use in uses if use.ownership is not None and use.ownership.partition == name),
        key=lambda use: (use.drain_s, use.name),
    )
    drained = owned[: max(0, len(owned) - target)]
    return {
        "target": target,
        "holds": len(owned),
        "drains": [use.name for use in drained],
        "tasks": sum(sum(use.task_counts.values()) for use in drained),
        "left_s": round(max((use.drain_s for use in drained), default=0.0), 1),
    }
