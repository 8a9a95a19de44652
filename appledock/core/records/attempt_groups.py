"""The compact form of a job's open attempts and completed tasks in its record (format 2).

Attempts of one step differ in machine and tasks only. They stand together in a group:
agent epoch, attempt number, term, stopping, the common part of the machines' names with its
number of digits, and one word for each machine:

    MACHINE [BLOCK ...]      BLOCK: [SKIP] [.COUNT]      numbers in base 36

A block is COUNT tasks in a row (one, if not said), SKIP (with its sign) after the end of
the block before, or right after it. So a step that puts two tasks on each of ninety
machines costs five bytes a machine instead of thirty-five.
"""

from __future__ import annotations

import base64
import re
from itertools import groupby
from typing import Any, NamedTuple

from appledock.core.records.intervals import IntervalSet

_NAME = re.compile(r"\A(.*?)([0-9]{1,9})\Z", re.DOTALL)
_WORD = re.compile(
    r"\A([0-9a-z]+)((?:[+-][0-9a-z]+)?(?:\.[0-9a-z]+)?"
    r"(?:[+-][0-9a-z]+(?:\.[0-9a-z]+)?)*)\Z"
)
_BLOCK = re.compile(r"([+-][0-9a-z]+)?(?:\.([0-9a-z]+))?")
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class AttemptRow(NamedTuple):
    """The fields of an attempt in the order of its class."""

    machine: str
    agent_epoch: int
    attempt_number: int
    term: int
    stopping: bool
    tasks: set[int]


class _Group(NamedTuple):
    """What the attempts of a group have in common."""

    agent_epoch: int
    attempt_number: int
    term: int
    stopping: bool
    name_prefix: str
    digits: int
    """of the number behind the prefix; -1: the names have no number"""


def base36(number: int) -> str:
    """Write `number` (0 or more) as int(text, 36) reads it."""
    text = ""
    while True:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
        if not number:
            return text


def _split(machine: str) -> tuple[str, int, int]:
    """Prefix, number of digits and number of a name; -1 digits: the name has no number."""
    match = _NAME.match(machine)
    if match is None:
        return machine, -1, 0
    return match[1], len(match[2]), int(match[2])


def _group_of(row: AttemptRow) -> _Group:
    prefix, digits, _ = _split(row.machine)
    return _Group(row.agent_epoch, row.attempt_number, row.term, row.stopping, prefix, digits)


def pack_attempts(rows: list[AttemptRow]) -> list[list[Any]]:
    """Pack attempts into groups; those without tasks are left out."""
    ordered = sorted(
        (row for row in rows if row.tasks),
        key=lambda row: (_group_of(row), min(row.tasks), row.machine),
    )
    result = []
    for group, members in groupby(ordered, key=_group_of):
        words, end = [], -1
        for row in members:
            word, end = _pack_word(row, end)
            words.append(word)
        result.append(
            [*group[:3], int(group.stopping), group.name_prefix, group.digits, " ".join(words)]
        )
    return result


def _pack_word(row: AttemptRow, end: int) -> tuple[str, int]:
    """The word of a machine whose blocks follow the task `end`, and its own last task."""
    word = base36(_split(row.machine)[2])
    intervals = list(IntervalSet(sorted(row.tasks)).intervals())
    for index, (low, high) in enumerate(intervals):
        skip = low - end - 1
        # One task right after the block before needs no word, unless another block follows,
        # which would be taken for it.
        if skip or index or (len(intervals) > 1 and low == high):
            word += ("+" if skip >= 0 else "-") + base36(abs(skip))
        if high > low:
            word += "." + base36(high - low + 1)
        end = high
    return word, end


def unpack_attempts(groups: list[list[Any]]) -> list[AttemptRow]:
    """Unpack groups.

    Raises:
        ValueError or TypeError: they are malformed.
    """
    rows = []
    for agent_epoch, attempt_number, term, stopping, prefix, digits, words in groups:
        end = -1
        for word in words.split(" "):
            match = _WORD.match(word)
            if match is None:
                raise ValueError(f"not an attempt: {word[:80]}")
            machine = prefix if digits < 0 else f"{prefix}{int(match[1], 36):0{digits}d}"
            tasks, end = _unpack_blocks(match[2], end)
            rows.append(
                AttemptRow(machine, agent_epoch, attempt_number, term, bool(stopping), tasks)
            )
    return rows


def _unpack_blocks(blocks: str, end: int) -> tuple[set[int], int]:
    """The tasks of the blocks, which follow the task `end`, and the last of them."""
    tasks: set[int] = set()
    for skip, count in _BLOCK.findall(blocks) if blocks else [("", "")]:
        if not skip and not count and blocks:
            continue  # the empty match at the end
        low = end + 1 + (int(skip, 36) if skip else 0)
        end = low + (int(count, 36) if count else 1) - 1
        if low < 0:
            raise ValueError(f"not an attempt: {blocks[:80]}")
        tasks.update(range(low, end + 1))
    return tasks, end


def pack_completed(completed: IntervalSet) -> dict[str, str]:
    """Pack completed tasks: as ranges, or as a map of bits where that is shorter."""
    ranges = str(completed)
    highest = max((high for _, high in completed.intervals()), default=-1)
    if len(ranges) <= 8 or (highest + 8) // 8 * 4 / 3 + 4 >= len(ranges):
        return {"done": ranges} if ranges else {}
    bits = sum(1 << number for number in completed)
    return {"bits": base64.b64encode(bits.to_bytes((highest + 8) // 8, "little")).decode()}


def unpack_completed(record: dict[str, Any]) -> IntervalSet:
    """Unpack the completed tasks of a record, in either form.

    Raises:
        ValueError or TypeError: they are malformed.
    """
    if "bits" not in record:
        return IntervalSet.parse(record.get("done", ""))
    bits = int.from_bytes(base64.b64decode(record["bits"], validate=True), "little")
    return IntervalSet(number for number in range(bits.bit_length()) if bits >> number & 1)
