"""Writes the effects of all simulated controllers as lines of text, in their order.

A line holds what leaves a controller as it goes onto the wire or into the store, so that it
depends on no Python name of the code that is run.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TextIO

from tests.standins.node import Node
from tests.standins.versions import Code, EffectKind, HttpCall


def content(code: Code, effect: Any) -> str:
    """What the effect says to the outside."""
    match code.kind(effect):
        case EffectKind.REPLY:
            headers = json.dumps(code.reply_headers(effect), sort_keys=True)
            return (
                f"#{code.request_id(effect)} {code.reply_status(effect)} {headers} "
                f"{_text(code.reply_body(effect))}"
            )
        case EffectKind.STORE_CALL:
            return _call(code, effect, code.store_request(effect))
        case EffectKind.CLOUD_CALL:
            return _call(code, effect, code.cloud_request(effect))
        case EffectKind.WORKER_CALL:
            orders = code.worker_orders(effect)
            return (
                f"#{code.call_id(effect)} {code.worker_address(effect)} "
                f"timeout={code.timeout_s(effect)!r} {'show' if orders is None else _text(orders)}"
            )
        case EffectKind.PEER_SEND:
            return f"to={code.peer_target(effect) or 'all'} {_text(code.peer_body(effect))}"
        case EffectKind.LOG_LEVEL:
            return code.log_level(effect)


def _call(code: Code, effect: Any, call: HttpCall) -> str:
    return (
        f"#{code.call_id(effect)} {call.method} {call.path} "
        f"timeout={code.timeout_s(effect)!r} {_text(call.body)}"
    )


def _text(encoded: bytes) -> str:
    return encoded.decode("utf-8", "backslashreplace").replace("\n", "\\n")


class Recorder(logging.Handler):
    """Writes a line for each effect, and one for each exception that the code logs."""

    def __init__(self, output: TextIO) -> None:
        super().__init__(logging.ERROR)
        self.output = output
        self.versions: set[Code] = set()
        """those that any controller ran"""

    def effects(self, node: Node, effects: list[Any]) -> None:
        """Write the effects of one batch of a controller."""
        code = node.runs
        self.versions.add(code)
        for effect in effects:
            self.output.write(
                f"{node.clock.now!r} {node.name}.{node.life} {code.kind(effect).value} "
                f"{content(code, effect)}\n"
            )

    def emit(self, record: logging.LogRecord) -> None:
        """Write which exception was logged; its text may name what was renamed."""
        if record.exc_info and record.exc_info[0] is not None:
            self.output.write(f"- - exception {record.exc_info[0].__name__}\n")


@contextmanager
def recorded(output: TextIO) -> Iterator[Recorder]:
    """Record what all simulated controllers of this process do meanwhile."""
    recorder = Recorder(output)
    logger = logging.getLogger("appledock")
    logger.addHandler(recorder)
    Node.observers.append(recorder.effects)
    try:
        yield recorder
    finally:
        Node.observers.remove(recorder.effects)
        logger.removeHandler(recorder)
