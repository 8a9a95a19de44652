"""Writes the effects of all simulated controllers as lines of text, in the order of their emission.

A line holds what leaves a controller, encoded as on the wire or in the store. It contains no Python
name of the code, so recordings of two versions with different names can be compared.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TextIO

from tests.standins.node import Node
from tests.standins.versions import Code, EffectKind, HttpCall


def format_effect(code: Code, effect: Any) -> str:
    """Return the effect as text: its target and its encoded content."""
    match code.kind(effect):
        case EffectKind.REPLY:
            headers = json.dumps(code.reply_headers(effect), sort_keys=True)
            return (
                f"#{code.request_id(effect)} {code.reply_status(effect)} {headers} "
                f"{_escape(code.reply_body(effect))}"
            )
        case EffectKind.STORE_CALL:
            return _format_call(code, effect, code.store_request(effect))
        case EffectKind.CLOUD_CALL:
            return _format_call(code, effect, code.cloud_request(effect))
        case EffectKind.WORKER_CALL:
            orders = code.worker_orders(effect)
            content = "show" if orders is None else _escape(orders)
            return (
                f"#{code.call_id(effect)} {code.worker_address(effect)} "
                f"timeout={code.timeout_s(effect)!r} {content}"
            )
        case EffectKind.PEER_SEND:
            return f"to={code.peer_target(effect) or 'all'} {_escape(code.peer_body(effect))}"
        case EffectKind.LOG_LEVEL:
            return code.log_level(effect)


def _format_call(code: Code, effect: Any, call: HttpCall) -> str:
    return (
        f"#{code.call_id(effect)} {call.method} {call.path} "
        f"timeout={code.timeout_s(effect)!r} {_escape(call.body)}"
    )


def _escape(encoded: bytes) -> str:
    return encoded.decode("utf-8", "backslashreplace").replace("\n", "\\n")


class Recorder(logging.Handler):
    """Writes a line for each effect and for each exception that the code logs."""

    def __init__(self, output: TextIO) -> None:
        super().__init__(logging.ERROR)
        self.output = output
        self.versions: set[Code] = set()
        """versions that at least one controller has run"""

    def write_effects(self, node: Node, effects: list[Any]) -> None:
        """Write the effects of one batch of commands of a controller."""
        code = node.runs
        self.versions.add(code)
        for effect in effects:
            self.output.write(
                f"{node.clock.now!r} {node.name}.{node.life} {code.kind(effect).value} "
                f"{format_effect(code, effect)}\n"
            )

    def emit(self, record: logging.LogRecord) -> None:
        """Write the type of a logged exception.

        Its text is left out, as it may contain Python names that differ between versions.
        """
        if record.exc_info and record.exc_info[0] is not None:
            self.output.write(f"- - exception {record.exc_info[0].__name__}\n")


@contextmanager
def record_effects(output: TextIO) -> Iterator[Recorder]:
    """Record the effects of all simulated controllers of this process within the context."""
    recorder = Recorder(output)
    logger = logging.getLogger("appledock")
    logger.addHandler(recorder)
    Node.observers.append(recorder.write_effects)
    try:
        yield recorder
    finally:
        Node.observers.remove(recorder.write_effects)
        logger.removeHandler(recorder)
