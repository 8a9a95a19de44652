"""Speed of machines, estimated from the run times of the tasks that completed on them."""

from __future__ import annotations

from dataclasses import dataclass

from appledock import constants


@dataclass(slots=True)
class _Average:
    """Running mean; beyond `SPEED_SAMPLES_MAX` samples, older ones lose weight exponentially."""

    value: float
    count: int = 1

    def add(self, value: float) -> None:
        self.count += 1
        self.value += (value - self.value) / min(self.count, constants.SPEED_SAMPLES_MAX)


class MachineSpeeds:
    """Averages, for each machine, the ratios of run times to the mean run time of the class.

    Run times are not compared with the estimates of the jobs, which are wrong for whole classes.
    """

    def __init__(self) -> None:
        self._classes: dict[str, _Average] = {}
        """Mean run time (s) by job class."""
        self._machines: dict[str, _Average] = {}
        """Mean ratio of run times to the mean of the class, by machine."""

    def add_run_time(self, machine: str, job_class: str, seconds: float) -> None:
        """Record the run time of a completed task of the job class on the machine."""
        if seconds <= 0:
            return
        mean = self._classes.get(job_class)
        if mean is None:
            self._classes[job_class] = _Average(seconds)
            return
        ratio = min(constants.SPEED_RATIO_MAX, seconds / mean.value)
        mean.add(seconds)
        known = self._machines.get(machine)
        if known is None:
            self._machines[machine] = _Average(ratio)
        else:
            known.add(ratio)

    def forget(self, machine: str) -> None:
        """Delete the average of a machine that no longer exists."""
        self._machines.pop(machine, None)

    def slowness(self, machine: str) -> float:
        """Return the mean ratio of run times on the machine to those of the class; 1 if unknown.

        The ratio is unknown until enough tasks have completed on the machine.
        """
        known = self._machines.get(machine)
        if known is None or known.count < constants.SPEED_SAMPLES_MIN:
            return 1.0
        return known.value
