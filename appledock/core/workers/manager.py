"""The workers as the rest of the core sees them: the table and all dealings with it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.messages import WorkerMessage
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.workers.answers import Answers
from appledock.core.workers.commands import Commands
from appledock.core.workers.detachment import Detachment
from appledock.core.workers.evidence import Evidence
from appledock.core.workers.gossip import Gossip
from appledock.core.workers.liveness import Liveness
from appledock.core.workers.orders import Orders
from appledock.core.workers.record import Worker
from appledock.core.workers.reports import Reports
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller
    from appledock.core.store.replica import View


class Workers(WorkerTable):
    """The table of workers and all dealings with them.

    The parts get the table alone; what one needs of another it is given, or asks
    for here, as the rest of the core does.
    """

    def __init__(self, engine: Controller) -> None:
        super().__init__(engine)
        self.reports = Reports(engine, self)
        self.gossip = Gossip(engine, self)
        self.evidence = Evidence(engine, self)
        self.command_maker = Commands(engine)
        self.orders = Orders(engine, self, self.gossip)
        self.liveness = Liveness(engine, self, self.gossip)
        self.detachment = Detachment(engine, self)
        self.answers = Answers(engine, self, self.gossip, self.detachment)
        self.next_look = 0.0

    def tick(self) -> None:
        """Tell the peers what is due; sessions that have lapsed, workers worth asking."""
        if not self.engine.membership.can_act():
            return
        self.gossip.tick()
        if self.engine.now >= self.next_look:
            self.next_look = self.engine.now + c.SILENCE_EVERY_S
            self.detachment.tick()
            self.liveness.check_all()

    # --- reports and commands ---------------------------------------------
    def on_heartbeat(self, request_id: int, report: wire.Report) -> None:
        """A report came straight from its worker."""
        self.answers.answer(request_id, report)

    def ingest_heartbeat(self, report: wire.Report, well_s: float | None = None) -> bool:
        """Take a report in if it is newer than the one known."""
        return self.reports.ingest(report, well_s)

    def commands_for(self, worker: Worker, direct: bool) -> list[wire.Command]:
        """What the worker lacks or has too much, compared with the records."""
        return self.command_maker.commands_for(worker, direct)

    def push_commands(self) -> None:
        """Send commands at once to all workers that may need them."""
        self.orders.flush()

    # --- questions --------------------------------------------------------
    def verdict(self, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        """Is this attempt of a task over? None: it is open."""
        return self.evidence.verdict(job, attempt, task)

    def probe(self, worker: Worker) -> None:
        """Ask the worker itself for its report."""
        self.liveness.probe(worker)

    def reporting_fraction(self) -> float:
        """Part of our workers, among those heard of lately, that reported to us."""
        return self.detachment.reporting_fraction()

    def owner_timeout_counts(self) -> dict[str, int]:
        """Owner -> how many of its workers came here after waiting for it in vain."""
        return self.detachment.owner_timeout_counts()

    # --- views and peers --------------------------------------------------
    def on_view(self, old: View | None) -> None:
        """Ownership may have moved."""
        self.liveness.on_view(old)
        self.detachment.on_view()

    def on_peer(self, message: WorkerMessage) -> None:
        """What a peer tells of workers."""
        self.gossip.on_peer(message)

    def on_peer_connected(self, name: str) -> None:
        """A link (re)opened: what the peer missed is sent again."""
        self.gossip.on_peer_connected(name)
