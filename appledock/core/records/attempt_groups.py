"""The compact form of a job's open attempts and finished tasks in its record.

Attempts of one step differ in machine and tasks only. They stand together in a group:
session, attempt number, term, stopping, the common part of the machines' names with its
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
from typing import Any

from appledock.core.records.intervals import IntervalSet

_NAME = re.compile(r"\A(.*?)([0-9]{1,9})\Z", re.DOTALL)
_WORD = re.compile(
    r"\A([0-9a-z]+)((?:[+-][0-9a-z]+)?(?:\.[0-9a-z]+)?"
    r"(?:[+-][0-9a-z]+(?:\.[0-9a-z]+)?)*)\Z"
)
_BLOCK = re.compile(r"([+-][0-9a-z]+)?(?:\.([0-9a-z]+))?")
_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"

Row = tuple[str, int, int, int, bool, set[int]]
"""machine, session, attempt number, term, stopping, tasks"""


def base36(number: int) -> str:
    """`number` (0 or more) as int(text, 36) reads it."""
    text = ""
    while True:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
        if not number:
            return text


def _split(machine: str) -> tuple[str, int, int]:
    """Common part, number of digits and number; -1 digits: the name has no number."""
    match = _NAME.match(machine)
    if match is None:
        return machine, -1, 0
    return match[1], len(match[2]), int(match[2])


def pack(rows: list[Row]) -> list[list[Any]]:
    """The attempts in groups."""

    def group(row: Row) -> tuple[Any, ...]:
        return (*row[1:5], *_split(row[0])[:2])

    result = []
    ordered = sorted(
        (row for row in rows if row[5]), key=lambda row: (group(row), min(row[5]), row[0])
    )
    for key, members in groupby(ordered, key=group):
        words, end = [], -1
        for row in members:
            runs = list(IntervalSet(sorted(row[5])).intervals())
            word = base36(_split(row[0])[2])
            for place, (low, high) in enumerate(runs):
                skip = low - end - 1
                # One task right after the block before needs no word, unless another
                # block follows, which would be taken for it.
                if skip or place or (len(runs) > 1 and low == high):
                    word += ("+" if skip >= 0 else "-") + base36(abs(skip))
                if high > low:
                    word += "." + base36(high - low + 1)
                end = high
            words.append(word)
        session, number, term, stopping, common, digits = key
        result.append([session, number, term, int(stopping), common, digits, " ".join(words)])
    return result


def unpack(groups: list[list[Any]]) -> list[Row]:
    """The attempts of the groups; raises ValueError or TypeError if malformed."""
    rows: list[Row] = []
    for session, number, term, stopping, common, digits, words in groups:
        end = -1
        for word in words.split(" "):
            match = _WORD.match(word)
            if match is None:
                raise ValueError(f"not an attempt: {word[:80]}")
            machine = common if digits < 0 else f"{common}{int(match[1], 36):0{digits}d}"
            tasks: set[int] = set()
            for skip, count in _BLOCK.findall(match[2]) if match[2] else [("", "")]:
                if not skip and not count and match[2]:
                    continue  # the empty match at the end
                low = end + 1 + (int(skip, 36) if skip else 0)
                end = low + (int(count, 36) if count else 1) - 1
                if low < 0:
                    raise ValueError(f"not an attempt: {word[:80]}")
                tasks.update(range(low, end + 1))
            rows.append((machine, session, number, term, bool(stopping), tasks))
    return rows


def pack_done(done: IntervalSet) -> dict[str, str]:
    """Finished tasks: ranges, or a map of bits where that is shorter."""
    ranges = str(done)
    highest = max((high for _, high in done.intervals()), default=-1)
    if len(ranges) <= 8 or (highest + 8) // 8 * 4 / 3 + 4 >= len(ranges):
        return {"done": ranges} if ranges else {}
    bits = sum(1 << number for number in done)
    return {"bits": base64.b64encode(bits.to_bytes((highest + 8) // 8, "little")).decode()}


def unpack_done(record: dict[str, Any]) -> IntervalSet:
    if "bits" not in record:
        return IntervalSet.parse(record.get("done", ""))
    bits = int.from_bytes(base64.b64decode(record["bits"], validate=True), "little")
    return IntervalSet(number for number in range(bits.bit_length()) if bits >> number & 1)
