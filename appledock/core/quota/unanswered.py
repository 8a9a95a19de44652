"""Conditional writes whose outcome is not known, and whose possible effects stay counted."""

from __future__ import annotations

from dataclasses import dataclass

from appledock.core.quota.resources import Resources
from appledock.core.store_calls import Committed, StoreOutcome, UnknownOutcome


@dataclass(frozen=True, slots=True)
class _Bound:
    """A bound on the resources in a record, valid whether a write of it is executed or not."""

    version: int
    """version of the record that the write is conditional on"""
    resources: Resources


class UnansweredWrites:
    """A bound for each record that a write may still change, by the record's key.

    A bound holds from the time when the write is sent until its outcome is known. If the outcome
    stays unknown, the bound holds until the record's version has changed: the write was
    conditional on the earlier version, so by then it is either part of the record or void.
    """

    def __init__(self) -> None:
        self._bounds: dict[str, _Bound] = {}

    def bound(self, key: str, version: int) -> Resources | None:
        """Return the bound for the record at this version; drop a bound for another version."""
        bound = self._bounds.get(key)
        if bound is None:
            return None
        if bound.version != version:
            del self._bounds[key]
            return None
        return bound.resources

    def begin(self, key: str, version: int, resources: Resources) -> UnansweredWrite:
        """Set the bound for a write that is conditional on the version.

        `resources` must also cover the effects of earlier unanswered writes.
        """
        previous = self._bounds.get(key)
        if previous is not None and previous.version != version:
            previous = None
        self._bounds[key] = _Bound(version, resources)
        return UnansweredWrite(self._bounds, key, version, previous)

    def clear(self) -> None:
        """Drop all bounds, as all writes in flight have become void."""
        self._bounds.clear()


@dataclass(frozen=True, slots=True)
class UnansweredWrite:
    """A write without an answer yet, and the bound that held before it."""

    _bounds: dict[str, _Bound]
    _key: str
    _version: int
    _previous: _Bound | None

    def finish(self, outcome: StoreOutcome) -> None:
        """Drop the bound after the call has ended, unless the write may still be executed."""
        bound = self._bounds.get(self._key)
        if isinstance(outcome, UnknownOutcome) or bound is None or bound.version != self._version:
            return
        if self._previous is not None and not isinstance(outcome, Committed):
            # An earlier write on the same version has no answer yet and may still be executed.
            self._bounds[self._key] = self._previous
        else:
            del self._bounds[self._key]
