"""Compact encoding of a job's open attempts and completed tasks in its record (format 2).

The attempts of one step differ only in machine and tasks. They are stored as a group, a list of
agent epoch, attempt number, term, stopping, the common prefix of the machines' names, the number of
digits after the prefix, and one entry for each machine, separated by spaces:

    MACHINE [BLOCK ...]      BLOCK: [SKIP] [.COUNT]      numbers in base 36

An entry contains no spaces. MACHINE is the number at the end of the machine's name. A block is a
range of COUNT consecutive tasks (1 by default). SKIP, written with its sign, is the distance from
the task after the previous block, which may be in the previous entry, to the first task of this
block (0 by default). A step that places two tasks on each of ninety machines thus takes five bytes
for each machine instead of thirty-five.
"""

from __future__ import annotations

import base64
import re
from itertools import groupby
from typing import Any, NamedTuple

from appledock.core.records.intervals import IntervalSet

_MACHINE_NAME = re.compile(r"\A(.*?)([0-9]{1,9})\Z", re.DOTALL)
_ENTRY = re.compile(
    r"\A([0-9a-z]+)((?:[+-][0-9a-z]+)?(?:\.[0-9a-z]+)?"
    r"(?:[+-][0-9a-z]+(?:\.[0-9a-z]+)?)*)\Z"
)
_BLOCK = re.compile(r"([+-][0-9a-z]+)?(?:\.([0-9a-z]+))?")
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class AttemptRow(NamedTuple):
    """The fields of `Attempt`, in the same order."""

    machine: str
    agent_epoch: int
    attempt_number: int
    term: int
    stopping: bool
    tasks: set[int]


class _GroupKey(NamedTuple):
    """The fields that all attempts of a group share."""

    agent_epoch: int
    attempt_number: int
    term: int
    stopping: bool
    name_prefix: str
    digits: int
    """Number of digits after the prefix; -1 if the names have no number."""


def base36(number: int) -> str:
    """Return the base-36 form of `number` (0 or more), which `int(text, 36)` reads."""
    text = ""
    while True:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
        if not number:
            return text


def _split_machine_name(machine: str) -> tuple[str, int, int]:
    """Return prefix, number of digits and number of a name; -1 digits if it has no number."""
    match = _MACHINE_NAME.match(machine)
    if match is None:
        return machine, -1, 0
    return match[1], len(match[2]), int(match[2])


def _group_key(row: AttemptRow) -> _GroupKey:
    prefix, digits, _ = _split_machine_name(row.machine)
    return _GroupKey(row.agent_epoch, row.attempt_number, row.term, row.stopping, prefix, digits)


def pack_attempts(rows: list[AttemptRow]) -> list[list[Any]]:
    """Pack attempts into groups; attempts without tasks are omitted."""
    ordered = sorted(
        (row for row in rows if row.tasks),
        key=lambda row: (_group_key(row), min(row.tasks), row.machine),
    )
    result = []
    for group, group_rows in groupby(ordered, key=_group_key):
        entries, end = [], -1
        for row in group_rows:
            entry, end = _pack_entry(row, end)
            entries.append(entry)
        result.append(
            [*group[:3], int(group.stopping), group.name_prefix, group.digits, " ".join(entries)]
        )
    return result


def _pack_entry(row: AttemptRow, end: int) -> tuple[str, int]:
    """Return the entry of a machine and its last task; `end` is the last task before the entry."""
    entry = base36(_split_machine_name(row.machine)[2])
    intervals = list(IntervalSet(sorted(row.tasks)).intervals())
    for index, (low, high) in enumerate(intervals):
        skip = low - end - 1
        # A single task right after `end` needs no text, because that is the default. If another
        # block follows, the text is needed: the other block would be read as the first one.
        if skip or index or (len(intervals) > 1 and low == high):
            entry += ("+" if skip >= 0 else "-") + base36(abs(skip))
        if high > low:
            entry += "." + base36(high - low + 1)
        end = high
    return entry, end


def unpack_attempts(groups: list[list[Any]]) -> list[AttemptRow]:
    """Unpack groups of attempts.

    Raises:
        ValueError or TypeError: the groups are malformed.
    """
    rows = []
    for agent_epoch, attempt_number, term, stopping, prefix, digits, entries in groups:
        end = -1
        for entry in entries.split(" "):
            match = _ENTRY.match(entry)
            if match is None:
                raise ValueError(f"malformed entry of an attempt: {entry[:80]}")
            machine = prefix if digits < 0 else f"{prefix}{int(match[1], 36):0{digits}d}"
            tasks, end = _unpack_blocks(match[2], end)
            rows.append(
                AttemptRow(machine, agent_epoch, attempt_number, term, bool(stopping), tasks)
            )
    return rows


def _unpack_blocks(blocks: str, end: int) -> tuple[set[int], int]:
    """Return the tasks of the blocks and the last of them; `end` is the last task before them."""
    tasks: set[int] = set()
    for skip, count in _BLOCK.findall(blocks) if blocks else [("", "")]:
        if not skip and not count and blocks:
            continue  # findall also matches the empty string at the end
        low = end + 1 + (int(skip, 36) if skip else 0)
        end = low + (int(count, 36) if count else 1) - 1
        if low < 0:
            raise ValueError(f"malformed blocks of an attempt: {blocks[:80]}")
        tasks.update(range(low, end + 1))
    return tasks, end


def pack_completed(completed: IntervalSet) -> dict[str, str]:
    """Pack completed tasks as ranges, or as a bitmap if that is shorter."""
    ranges = str(completed)
    highest = max((high for _, high in completed.intervals()), default=-1)
    if len(ranges) <= 8 or (highest + 8) // 8 * 4 / 3 + 4 >= len(ranges):
        return {"done": ranges} if ranges else {}
    bits = sum(1 << number for number in completed)
    return {"bits": base64.b64encode(bits.to_bytes((highest + 8) // 8, "little")).decode()}


def unpack_completed(record: dict[str, Any]) -> IntervalSet:
    """Unpack the completed tasks of a record, which may be ranges or a bitmap.

    Raises:
        ValueError or TypeError: the completed tasks are malformed.
    """
    if "bits" not in record:
        return IntervalSet.parse(record.get("done", ""))
    bits = int.from_bytes(base64.b64decode(record["bits"], validate=True), "little")
    return IntervalSet(number for number in range(bits.bit_length()) if bits >> number & 1)
