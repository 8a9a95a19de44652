"""The administration API: what operators see and set."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from appledock.core.events import Admin, Reply

if TYPE_CHECKING:
    from appledock.core.engine import Engine


class AdminApi:
    """Answers operators from this controller's picture."""

    def __init__(self, engine: Engine) -> None:
        self.e = engine

    def request(self, cmd: Admin) -> None:
        if cmd.method == "GET" and cmd.path == ("status",):
            self.e.emit(Reply(cmd.ask, 200, self.status()))
        else:
            self.e.emit(Reply(cmd.ask, 404, {"error": "no such path"}))

    def apply(self) -> None:
        """Operators' settings changed."""

    def status(self) -> dict[str, Any]:
        e = self.e
        view = e.replica.view
        return {"node": e.settings.name, "healthy": e.healthy(),
                "authority": e.membership.authority(), "leader": view.leader if view else None,
                "term": view.term if view else 0, "members": view.members if view else {},
                "revision": e.replica.revision, "jobs": len(e.replica.jobs),
                "machines": len(e.workers.table)}
