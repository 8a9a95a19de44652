"""Compact sets of task numbers."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class IntervalSet:
    """A set of integers, held as sorted, disjoint, closed intervals; text form `0-5,7,9-12`."""

    __slots__ = ("_highs", "_lows", "size")

    def __init__(self, numbers: Iterable[int] = ()) -> None:
        self._lows: list[int] = []
        self._highs: list[int] = []
        self.size = 0
        for number in numbers:
            self.add(number)

    @classmethod
    def parse(cls, text: str) -> IntervalSet:
        """Parse the text form.

        Raises:
            ValueError: the text is malformed or its intervals are out of order.
        """
        result = cls()
        for part in text.split(",") if text else ():
            low, _, high = part.partition("-")
            first, last = int(low), int(high or low)
            if last < first or (result._highs and first <= result._highs[-1]):
                raise ValueError(f"intervals out of order: {text[:80]}")
            result._lows.append(first)
            result._highs.append(last)
            result.size += last - first + 1
        return result

    def __str__(self) -> str:
        return ",".join(
            str(low) if low == high else f"{low}-{high}"
            for low, high in zip(self._lows, self._highs, strict=True)
        )

    def __len__(self) -> int:
        return self.size

    def __contains__(self, number: int) -> bool:
        index = bisect_right(self._lows, number) - 1
        return index >= 0 and number <= self._highs[index]

    def __iter__(self) -> Iterator[int]:
        for low, high in zip(self._lows, self._highs, strict=True):
            yield from range(low, high + 1)

    def add(self, number: int) -> None:
        """Add one number."""
        index = bisect_right(self._lows, number)
        if index and number <= self._highs[index - 1]:
            return
        self.size += 1
        joins_left = index > 0 and self._highs[index - 1] == number - 1
        joins_right = index < len(self._lows) and self._lows[index] == number + 1
        if joins_left and joins_right:
            self._highs[index - 1] = self._highs[index]
            del self._lows[index], self._highs[index]
        elif joins_left:
            self._highs[index - 1] = number
        elif joins_right:
            self._lows[index] = number
        else:
            self._lows.insert(index, number)
            self._highs.insert(index, number)

    def intervals(self) -> Iterator[tuple[int, int]]:
        """Iterate over the closed intervals."""
        yield from zip(self._lows, self._highs, strict=True)

    def gaps(self, total: int) -> Iterator[tuple[int, int]]:
        """Iterate over the closed intervals of 0 to total - 1 that are not in the set."""
        start = 0
        for low, high in zip(self._lows, self._highs, strict=True):
            if low > start:
                yield start, low - 1
            start = high + 1
        if start < total:
            yield start, total - 1

    def copy(self) -> IntervalSet:
        """Return an independent copy."""
        other = IntervalSet()
        other._lows, other._highs = self._lows[:], self._highs[:]
        other.size = self.size
        return other
