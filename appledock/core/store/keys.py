"""Keys of the key-value store; all share one prefix, so that one watch shows changes in order."""

from __future__ import annotations

from appledock import constants

LIVE_PREFIX = constants.KEY_PREFIX + "live/"
JOBS_PREFIX = LIVE_PREFIX + "jobs/"
TEAMS_PREFIX = LIVE_PREFIX + "teams/"
MEMBERS_PREFIX = LIVE_PREFIX + "members/"
VIEW_KEY = LIVE_PREFIX + "view"
CATALOGUE_KEY = LIVE_PREFIX + "catalogue"
SETTINGS_KEY = LIVE_PREFIX + "settings"
FORMAT_KEY = LIVE_PREFIX + "format"
FINAL_PREFIX = constants.KEY_PREFIX + "final/"


def key_kind(key: str) -> str:
    """Return the kind of record that a key stores, for example `jobs`, `view` or `final`."""
    return key.removeprefix(LIVE_PREFIX).removeprefix(constants.KEY_PREFIX).partition("/")[0]
