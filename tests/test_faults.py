"""The whole cluster under seeded faults, judged by a plain model of the rules."""

from __future__ import annotations

import pytest

from tests.standins.faults import play


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        (1, ()),
        (2, ("crash",)),
        (3, ("crash_all", "die")),
        (4, ("cut", "hang")),
        (5, ("late", "isolate")),
        (6, ("outage", "shut_out", "crash")),
        (7, ("peers", "cut", "late")),
        (8, ("crash", "cut", "die", "hang", "late", "outage", "cloud", "isolate", "peers")),
        (9, ("crash_all", "late", "cut", "outage", "die")),
        (1117, ("cloud", "crash", "hang", "late", "shut_out", "die", "cut", "outage")),
        (1264, ("shut_out", "outage")),
        (1445, ("cut", "crash", "cloud", "late")),
        (5076, ("outage", "crash_all", "isolate", "peers", "crash", "late")),
        (1226, ("die", "hang", "isolate", "outage", "cloud", "peers", "late", "cut")),
        (35, ("repeats", "cut")),
        (36, ("repeats", "crash", "die", "copies")),
        (31, ("freeze",)),
        (32, ("freeze", "crash", "late", "copies")),
        (33, ("no_workers",)),
        (34, ("no_workers", "freeze", "crash_all", "die", "outage")),
        (21, ("deaf", "copies")),
        (22, ("copies", "crash_all", "die", "crash")),
        (23, ("alone", "crash", "late")),
        (24, ("refuse", "die", "alone")),
        (25, ("crash", "crash_all", "copies", "late", "deaf")),
        (26, ("deaf", "copies", "alone", "refuse", "cut", "hang", "outage", "die", "crash")),
    ],
)
def test_rules_hold_and_work_gets_done(seed: int, faults: tuple[str, ...]) -> None:
    world = play(seed, *faults, seconds=210.0)
    assert world.judge.broken == []
    assert world.judge.starts > 30
    assert world.unfinished() == []
    assert world.judge.day_end(peace=90.0) == []
