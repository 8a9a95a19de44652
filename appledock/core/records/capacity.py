"""What the state service keeps of capacity shares: what is agreed, and who holds which machine."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any

from appledock import constants as c
from appledock.capacity.ownership import Bucket, Holding, bucket_of, decode
from appledock.capacity.settings import Shares

log = logging.getLogger(__name__)

CAPACITY = c.KEY_ROOT + "live/capacity/"
AGREED = CAPACITY + "agreed"
HOLDINGS = CAPACITY + "held/"


@dataclass(frozen=True, slots=True)
class AgreedFractions:
    """The shares of machines that operators agreed on last."""

    version: int
    request: str
    """name of the request that changed them: said again, it has no further effect"""
    shares: Shares
    before: Shares
    stop_at: float | None
    """time of day from which tasks that save may be stopped, s"""


class CapacityRecords:
    """The records under one prefix, as last read."""

    def __init__(self) -> None:
        self.agreed_fractions: AgreedFractions | None = None
        self.buckets: dict[int, Bucket] = {}
        """who holds which machine, by record"""
        self.changed: set[str] = set()
        """machines whose holder has changed"""

    def bucket(self, number: int) -> Bucket:
        """One record of who holds which machine; empty if it was never written."""
        return self.buckets.get(number) or Bucket()

    def holding(self, machine: str) -> Holding | None:
        """Who holds the machine; None if nobody was given it."""
        return self.bucket(bucket_of(machine)).holdings.get(machine)

    def version(self, key: str) -> int:
        """The version of a record that is known."""
        if key == AGREED:
            return self.agreed_fractions.version if self.agreed_fractions is not None else 0
        return self.bucket(_number(key)).version

    def put(self, key: str, value: Any, version: int) -> None:
        """A record as it is now; one that cannot be read says nothing."""
        try:
            if key == AGREED:
                self.agreed_fractions = AgreedFractions(
                    version,
                    value["request"],
                    value["shares"],
                    value["before"],
                    value.get("stop_at"),
                )
            else:
                self._set(_number(key), decode(value, version))
        except (AttributeError, KeyError, TypeError, ValueError):
            log.exception("malformed record %s", key)
            if key != AGREED:
                self._set(_number(key), Bucket(version))

    def drop(self, key: str) -> None:
        """A record that is there no more."""
        if key == AGREED:
            self.agreed_fractions = None
        else:
            self._set(_number(key), Bucket())

    def _set(self, number: int, bucket: Bucket) -> None:
        old = self.bucket(number).holdings
        self.buckets[number] = bucket
        for machine in old.keys() | bucket.holdings.keys():
            if old.get(machine) != bucket.holdings.get(machine):
                self.changed.add(machine)


def _number(key: str) -> int:
    """Number of a record of holders; -1 for a key of a later version."""
    text = key.removeprefix(HOLDINGS)
    return int(text) if text.isdecimal() else -1
