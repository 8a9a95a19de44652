"""State that all components of a controller share: settings, clock, randomness, pending effects."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from appledock import constants
from appledock.core.commands import CallReply
from appledock.core.effects import Effect
from appledock.settings import Settings, TeamLimits


class Runtime:
    """Clock, random source, settings and pending effects of one controller.

    Only the engine sets the clock and takes the effects; all other components read the clock and
    emit effects.
    """

    def __init__(self, settings: Settings, incarnation: str, rng: random.Random) -> None:
        self.settings = settings
        self.node = settings.name
        """Name of this controller."""
        self.incarnation = incarnation
        """Identifier of this process; a restarted controller has another one."""
        self.rng = rng
        self.now = 0.0
        """Time on the monotonic clock, in seconds."""
        self.wall_time = 0.0
        """Time of day, in seconds since the Unix epoch."""
        self.teams: dict[str, TeamLimits] = {team.name: team for team in settings.cluster.teams}
        workers = settings.cluster.workers
        # A controller that is partitioned right before a cancellation may answer heartbeats of a
        # worker until its own lease expires, and the worker continues until the worker's lease
        # expires after that. Both leases must fit into the time limit of a cancellation.
        self.lease_ttl_s = max(
            constants.CONTROLLER_LEASE_MIN_S,
            min(
                constants.CONTROLLER_LEASE_S,
                workers.cancel_s - workers.lease_s - constants.CANCEL_RESERVE_S,
            ),
        )
        """Time to live of a controller's lease in the key-value store, in seconds."""
        self._effects: list[Effect] = []
        self._last_call_id = 1
        self._on_reply: dict[int, Callable[[Any], None]] = {}

    # --- effects ----------------------------------------------------------
    def emit(self, effect: Effect) -> None:
        """Add an effect to those that the adapters carry out after this batch."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Remove and return the effects emitted since the last call of this method."""
        effects, self._effects = self._effects, []
        return effects

    # --- calls ------------------------------------------------------------
    def call(self, make: Callable[[int], Effect], on_reply: Callable[[Any], None]) -> None:
        """Emit the call that `make` builds from a new call id; `on_reply` gets the reply."""
        self._last_call_id += 1
        self._on_reply[self._last_call_id] = on_reply
        self.emit(make(self._last_call_id))

    def resolve(self, reply: CallReply) -> None:
        """Pass a reply to the callback of its call; a reply with an unknown call id is ignored."""
        on_reply = self._on_reply.pop(reply.call_id, None)
        if on_reply is not None:
            on_reply(reply)
