"""What all parts of a controller share: settings, clock, randomness and the outbox of effects."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from appledock import constants
from appledock.core.commands import CallReply
from appledock.core.effects import Effect
from appledock.settings import Settings
from appledock.settings import Team as TeamLimits


class Runtime:
    """Clock, random source, settings and outbox of one controller.

    Only the engine sets the clock and takes the effects out; every other part reads the time
    and emits.
    """

    def __init__(self, settings: Settings, incarnation: str, rng: random.Random) -> None:
        self.settings = settings
        self.node = settings.name
        """name of this controller"""
        self.incarnation = incarnation
        """differs in every process of the node"""
        self.rng = rng
        self.now = 0.0
        """steady clock, s"""
        self.wall_time = 0.0
        """time of day, s since the epoch"""
        self.teams: dict[str, TeamLimits] = {team.name: team for team in settings.cluster.teams}
        workers = settings.cluster.workers
        # A controller cut off right before a cancellation may answer a worker for one lease
        # more, and the worker runs on for its own lease after that: both must fit into the
        # time that a cancellation has.
        self.lease_ttl_s = max(
            constants.CONTROLLER_LEASE_MIN_S,
            min(
                constants.CONTROLLER_LEASE_S,
                workers.cancel_s - workers.lease_s - constants.CANCEL_RESERVE_S,
            ),
        )
        """time to live of a controller's lease in the key-value store"""
        self._effects: list[Effect] = []
        self._last_call_id = 1
        self._on_reply: dict[int, Callable[[Any], None]] = {}

    # --- effects ----------------------------------------------------------
    def emit(self, effect: Effect) -> None:
        """Hand an effect to the adapters, with the others of this batch."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Remove and return the effects emitted since the last time."""
        effects, self._effects = self._effects, []
        return effects

    # --- calls ------------------------------------------------------------
    def call(self, make: Callable[[int], Effect], on_reply: Callable[[Any], None]) -> None:
        """Emit the call that `make` builds from its call id; its reply goes to `on_reply`."""
        self._last_call_id += 1
        self._on_reply[self._last_call_id] = on_reply
        self.emit(make(self._last_call_id))

    def resolve(self, reply: CallReply) -> None:
        """Pass a reply to whoever made the call; an unknown call id is ignored."""
        on_reply = self._on_reply.pop(reply.call_id, None)
        if on_reply is not None:
            on_reply(reply)
