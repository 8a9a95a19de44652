"""Changes of capacity shares by operators: proposed, applied, withdrawn."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from appledock import constants as c
from appledock.capacity.apportion import apportion
from appledock.capacity.settings import CapacityError, Shares, check_shares
from appledock.core.commands import AdminRequest
from appledock.core.effects import Response
from appledock.core.records.capacity import AGREED
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Put,
    StoreOutcome,
    Transaction,
    UnknownOutcome,
)

if TYPE_CHECKING:
    from appledock.core.controller import Controller


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator asks for."""

    request: str
    version: int | None
    shares: Shares
    deadline_s: float | None


class BadChange(ValueError):
    """A change that cannot be taken; the text names the field."""


class PartitionSharesApi:
    """One record of what is agreed, changed by conditional transactions only."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine

    def request(self, cmd: AdminRequest, action: str) -> None:
        """Propose (a dry run), apply or withdraw."""
        if not self.engine.partitions.enabled:
            self._answer(cmd, {"error": "capacity shares are off"}, 404)
            return
        try:
            change = self._withdrawal(cmd.body) if action == "withdraw" else self._change(cmd.body)
        except (BadChange, CapacityError) as error:
            self._answer(cmd, {"error": str(error)}, 400)
            return
        if action == "propose":
            self._answer(cmd, self._forecast(change.shares))
        else:
            self._apply(cmd, change)

    def _answer(self, cmd: AdminRequest, body: Any, status: int = 200) -> None:
        headers = {"Retry-After": str(c.RETRY_AFTER_S)} if status == 503 else None
        self.engine.emit(Response(cmd.request_id, status, body, headers))

    # --- checking ---------------------------------------------------------
    def _change(self, body: Any) -> Change:
        if not isinstance(body, dict):
            raise BadChange("an object is needed")
        given = body.get("shares")
        if not isinstance(given, dict) or not all(isinstance(x, dict) for x in given.values()):
            raise BadChange("shares: an object of objects is needed, partition to pool to share")
        settings = self.engine.partitions.settings
        assert settings is not None
        shares = {
            name: dict(by_pool)
            for name, by_pool in self.engine.partitions.agreed_fractions().items()
        }
        for name, by_pool in given.items():
            shares.setdefault(name, {}).update(by_pool)
        check_shares(settings, shares)
        return Change(*self._identity(body), shares, self._deadline(body))

    def _withdrawal(self, body: Any) -> Change:
        """The shares of before the last change, as a change of its own."""
        if not isinstance(body, dict):
            raise BadChange("an object is needed")
        agreed = self.engine.replica.capacity.agreed_fractions
        if agreed is None:
            raise BadChange("nothing was changed that could be withdrawn")
        return Change(*self._identity(body), agreed.before, None)

    @staticmethod
    def _identity(body: dict[str, Any]) -> tuple[str, int | None]:
        request, version = body.get("request"), body.get("version")
        if not isinstance(request, str) or not 1 <= len(request) <= c.REQUEST_ID_MAX:
            raise BadChange(f"request: a text of 1 to {c.REQUEST_ID_MAX} characters is needed")
        if version is not None and (isinstance(version, bool) or not isinstance(version, int)):
            raise BadChange("version: an integer is needed")
        return request, version

    @staticmethod
    def _deadline(body: dict[str, Any]) -> float | None:
        deadline = body.get("deadline_s")
        if deadline is None:
            return None
        if isinstance(deadline, bool) or not isinstance(deadline, int | float):
            raise BadChange("deadline_s: a number is needed")
        if not 0 <= deadline <= c.DEADLINE_MAX_S:
            raise BadChange(f"deadline_s: allowed are 0 to {c.DEADLINE_MAX_S:g}")
        return float(deadline)

    # --- a dry run --------------------------------------------------------
    def _forecast(self, shares: Shares) -> dict[str, Any]:
        """What a change would drain, and for how long by the estimates."""
        engine = self.engine
        settings = engine.partitions.settings
        assert settings is not None
        pools: dict[str, Any] = {}
        for pool in settings.pools:
            uses = engine.partitions.machine_uses(pool.name)
            by_partition = {name: shares[name].get(pool.name, 0.0) for name in shares}
            target = apportion(len(uses), by_partition)
            rows = {}
            for name in shares:
                mine = sorted(
                    (u for u in uses if u.holding is not None and u.holding.partition == name),
                    key=lambda use: (use.cost, use.name),
                )
                drained = mine[: max(0, len(mine) - target[name])]
                rows[name] = {
                    "target": target[name],
                    "holds": len(mine),
                    "drains": [use.name for use in drained],
                    "tasks": sum(sum(use.tasks.values()) for use in drained),
                    "left_s": round(max((use.cost for use in drained), default=0.0), 1),
                }
            pools[pool.name] = rows
        return {"shares": shares, "pools": pools}

    # --- writing ----------------------------------------------------------
    def _apply(self, cmd: AdminRequest, change: Change) -> None:
        engine = self.engine
        agreed = engine.replica.capacity.agreed_fractions
        if agreed is not None and agreed.request == change.request:
            self._answer(cmd, engine.partitions.summary())  # said before: it has its effect already
            return
        present = agreed.version if agreed is not None else 0
        if change.version is not None and change.version != present:
            self._conflict(cmd, change)
            return
        stop_at = None if change.deadline_s is None else engine.wall + change.deadline_s
        record = {
            "request": change.request,
            "shares": change.shares,
            "before": engine.partitions.agreed_fractions(),
            "stop_at": stop_at,
        }
        plan = Transaction({AGREED: present}, [Put(AGREED, record)])

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    engine.replica.put(AGREED, record, outcome.revision)
                    self._answer(cmd, engine.partitions.summary())
                case Conflict() | UnknownOutcome():
                    self._read_and_answer(cmd, change)
                case _:
                    self._answer(cmd, {"error": "state service does not answer"}, 503)

        engine.client.submit(plan, Priority.USER, on_outcome, c.REQUEST_DEADLINE_S)

    def _read_and_answer(self, cmd: AdminRequest, change: Change) -> None:
        """Somebody else's change came first, or it is not known whether ours did: read it."""

        def read() -> None:
            agreed = self.engine.replica.capacity.agreed_fractions
            if agreed is not None and agreed.request == change.request:
                self._answer(cmd, self.engine.partitions.summary())
            else:
                self._conflict(cmd, change)

        def failed() -> None:
            self._answer(cmd, {"error": "state service does not answer"}, 503)

        self.engine.reader.read_keys([AGREED], read, failed)

    def _conflict(self, cmd: AdminRequest, change: Change) -> None:
        """The present version, and where it differs from what was asked for."""
        agreed = self.engine.replica.capacity.agreed_fractions
        present = self.engine.partitions.agreed_fractions()
        differs = {
            f"{name}.{pool}": {"present": present.get(name, {}).get(pool, 0.0), "asked": share}
            for name, by_pool in change.shares.items()
            for pool, share in by_pool.items()
            if present.get(name, {}).get(pool, 0.0) != share
        }
        body = {
            "error": "the shares were changed meanwhile",
            "version": agreed.version if agreed is not None else 0,
            "differs": differs,
        }
        self._answer(cmd, body, 409)
