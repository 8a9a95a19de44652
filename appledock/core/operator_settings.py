"""Settings that operators can change at run time: declarations, validation, current values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from appledock import constants as c


@dataclass(frozen=True, slots=True)
class SettingDeclaration:
    """Default, range, unit and description of one setting."""

    default: float
    minimum: float
    maximum: float
    unit: str
    description: str


DECLARATIONS: dict[str, SettingDeclaration] = {
    "idle_return_s": SettingDeclaration(
        c.IDLE_RETURN_S, 1, 3600, "s", "how long an idle machine is kept before it is returned"
    ),
    "step_tasks": SettingDeclaration(
        c.STEP_TASKS, 1, 1000, "tasks", "size of one step of an array"
    ),
    "sample": SettingDeclaration(
        c.PLACEMENT_SAMPLE_SIZE, 1, 1000, "machines", "machines looked at for each task"
    ),
    "machines_max": SettingDeclaration(
        100_000, 0, 100_000, "machines", "the leader rents no more once so many are up or booting"
    ),
    "lost_work_weight": SettingDeclaration(
        c.LOST_WORK_WEIGHT,
        0,
        100,
        "ratio",
        "a second of thrown away work against a second of waiting",
    ),
    "moves_paused": SettingDeclaration(0, 0, 1, "0 or 1", "1: no task is moved for balance"),
    "moves_dry_run": SettingDeclaration(0, 0, 1, "0 or 1", "1: moves are only logged and counted"),
}


class InvalidSettingError(ValueError):
    """An invalid value; the message names the setting and the allowed values."""


def validate(name: str, value: Any) -> float:
    """Return the value if it is valid for the setting.

    Raises:
        InvalidSettingError: the setting is unknown or the value is not allowed.
    """
    declaration = DECLARATIONS.get(name)
    if declaration is None:
        known = ", ".join(sorted(DECLARATIONS))
        raise InvalidSettingError(f"{name}: unknown setting; known are {known}")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidSettingError(f"{name}: a number is needed")
    if not declaration.minimum <= value <= declaration.maximum:
        raise InvalidSettingError(
            f"{name}: allowed are {declaration.minimum:g} to {declaration.maximum:g}"
            f" {declaration.unit}"
        )
    return value


class OperatorSettings:
    """Current values of the settings, accessed by name: `settings["sample"]`."""

    def __init__(self) -> None:
        self.values = self._defaults()

    def __getitem__(self, name: str) -> float:
        return self.values[name]

    def apply(self, stored: dict[str, Any]) -> None:
        """Apply the stored values; a setting with an invalid value gets its default."""
        self.values = self._defaults()
        for name, value in stored.items():
            try:
                self.values[name] = validate(name, value)
            except InvalidSettingError:
                continue

    @staticmethod
    def _defaults() -> dict[str, float]:
        return {name: declaration.default for name, declaration in DECLARATIONS.items()}
