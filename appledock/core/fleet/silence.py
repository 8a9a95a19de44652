"""Machines that fell silent: asked directly, and found mute or not."""

from __future__ import annotations

import logging
from collections.abc import Container
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.workers import Worker

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class SilenceDetector:
    """Tells machines that have failed from a network that has."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine

    def calm(self) -> bool:
        """Are most workers heard of, and our own by ourselves?

        If not, the trouble is ours or the network's.
        """
        now, workers = self.engine.now, self.engine.workers
        near_s = 2 * self.engine.settings.cluster.workers.report_s
        heard = [
            now - w.reachability.last_healthy_at < near_s
            for w in workers.table.values()
            if w.report
        ]
        # Guards against a leader that alone has lost its workers: the others still
        # hear of them, only its own questions stay without an answer, and it once
        # deleted a fifth of the fleet as mute.
        return (
            sum(heard) >= c.CALM_SHARE * len(heard)
            and workers.reporting_fraction() >= c.REPORTING_SHARE
        )

    def mute_machines(self, returning: Container[str]) -> list[str]:
        """Machines to delete, since they neither report nor answer.

        Replicas on a machine that fell silent come back sooner if the machine
        is deleted than if its lease is waited for. Not while many are silent (see
        `calm`): then the trouble is ours, or the network's.
        """
        engine, now = self.engine, self.engine.now
        report_s = engine.settings.cluster.workers.report_s
        # Asked at once, but deleted only by a leader that knows its way: one just
        # elected in a crash had to wait for the answers as well, two seconds more.
        sure = now - engine.membership.can_act_since >= c.CALM_S
        result = []
        for name, worker in engine.workers.table.items():
            # Silent, or deaf: its reports arrive and our answers do not.
            silent_s = now - worker.reachability.last_healthy_at
            if (
                worker.report is None
                or name in returning
                or name in engine.workers.deleted_machines
                or silent_s < c.SUSPECT_REPORTS * report_s
                or not self._runs_service(name)
            ):
                continue
            if sure and self._mute(worker) and silent_s > c.MUTE_S * report_s:
                log.warning("%s silent for %.1f s and mute: deleting it", name, silent_s)
                result.append(name)
            elif (
                now >= worker.reachability.next_probe_at and not worker.reachability.calls_in_flight
            ):
                engine.workers.probe(worker)
        return result

    def _runs_service(self, name: str) -> bool:
        replica = self.engine.replica
        return any(
            replica.jobs[job_id].spec.service
            for job_id in replica.attempts_by_machine.get(name, ())
        )

    def _mute(self, worker: Worker) -> bool:
        """Has it left our last question without an answer?"""
        return (
            worker.reachability.last_healthy_at < worker.reachability.probe_failed_at
            and self.engine.now - worker.reachability.probe_failed_at < 2 * c.SHOW_EVERY_S
        )
