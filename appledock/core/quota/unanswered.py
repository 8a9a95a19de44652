"""Conditional writes whose outcome is not known: what they may have changed stays counted."""

from __future__ import annotations

from dataclasses import dataclass

from appledock.core.quota.resources import Resources
from appledock.core.store_calls import Committed, StoreOutcome, UnknownOutcome


@dataclass(frozen=True, slots=True)
class _Bound:
    """A bound on what a record says once it, or a write conditional on it, counts."""

    version: int
    """of the record that the write is conditional on"""
    resources: Resources


class UnansweredWrites:
    """A bound for each record that a write may yet change, by the record's key.

    A bound holds from the moment when the write is sent until its outcome is known. If the
    outcome stays unknown, it holds until the record's version has moved on: the write was
    conditional on the version before, so it is either part of the record then or void.
    """

    def __init__(self) -> None:
        self._bounds: dict[str, _Bound] = {}

    def bound(self, key: str, version: int) -> Resources | None:
        """The bound while the record has this version; a bound on another one is dropped."""
        bound = self._bounds.get(key)
        if bound is None:
            return None
        if bound.version != version:
            del self._bounds[key]
            return None
        return bound.resources

    def begin(self, key: str, version: int, resources: Resources) -> UnansweredWrite:
        """A write conditional on the version is sent; the bound must include earlier ones."""
        previous = self._bounds.get(key)
        if previous is not None and previous.version != version:
            previous = None
        self._bounds[key] = _Bound(version, resources)
        return UnansweredWrite(self._bounds, key, version, previous)

    def clear(self) -> None:
        """All writes under way have become void."""
        self._bounds.clear()


@dataclass(frozen=True, slots=True)
class UnansweredWrite:
    """One write under way, and the bound that held before it."""

    _bounds: dict[str, _Bound]
    _key: str
    _version: int
    _previous: _Bound | None

    def finish(self, outcome: StoreOutcome) -> None:
        """The call has ended: drop the bound, unless the write may still be executed."""
        bound = self._bounds.get(self._key)
        if isinstance(outcome, UnknownOutcome) or bound is None or bound.version != self._version:
            return
        if self._previous is not None and not isinstance(outcome, Committed):
            # An earlier write on the same version has no answer yet and may be executed.
            self._bounds[self._key] = self._previous
        else:
            del self._bounds[self._key]
