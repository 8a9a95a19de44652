"""Keys of the key-value store. All share one prefix, so that one watch delivers them in order."""

from __future__ import annotations

from appledock import constants

LIVE = constants.KEY_PREFIX + "live/"
JOBS = LIVE + "jobs/"
TEAMS = LIVE + "teams/"
MEMBERS = LIVE + "members/"
VIEW = LIVE + "view"
CATALOGUE = LIVE + "catalogue"
SETTINGS = LIVE + "settings"
FORMAT = LIVE + "format"
FINAL = constants.KEY_PREFIX + "final/"


def key_kind(key: str) -> str:
    """`jobs`, `teams`, `members`, `view`, `final` ...: what a key keeps."""
    return key.removeprefix(LIVE).removeprefix(constants.KEY_PREFIX).partition("/")[0]
