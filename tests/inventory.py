"""Compares the tests of two commits: which are missing, and which assert less.

    python -m tests.inventory 56285b0 HEAD

Not run in CI. A renamed test shows as one that is missing and one that is new; `RENAMED`
names such pairs. The exit status is 1 if a test is missing or has fewer assertions.
"""

from __future__ import annotations

import ast
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]

RENAMED = {
    "test_budget_serves_by_priority_and_lets_reads_pass": (
        "test_rate_limiter_serves_by_priority_and_lets_reads_pass"
    ),
    "test_budget_tries_for_more_and_gives_way": "test_rate_limiter_tries_for_more_and_gives_way",
    "test_budget_leaves_the_others_what_they_use_and_users_wait_for_nobody": (
        "test_rate_limiter_leaves_the_others_what_they_use_and_users_wait_for_nobody"
    ),
    # membership
    "test_a_heartbeat_carries_the_figures_of_the_other_parts": (
        "test_a_heartbeat_carries_the_status_of_the_other_parts"
    ),
    "test_isolated_is_only_who_is_served_later_than_a_reachable_peer": (
        "test_a_controller_is_isolated_only_if_the_store_still_serves_a_reachable_peer"
    ),
    "test_the_leader_has_failed_if_it_alone_is_silent_or_not_served": (
        "test_the_leader_has_failed_if_it_alone_is_unreachable_or_not_served_by_the_store"
    ),
    "test_authority_ends_one_lease_after_sending_less_drift_and_margin": (
        "test_authority_ends_one_lease_less_drift_and_margin_after_the_request_was_sent"
    ),
    "test_a_lost_lease_ends_authority_and_the_next_incarnation_is_a_new_one": (
        "test_a_lost_lease_ends_authority_and_the_next_join_uses_a_new_incarnation"
    ),
    "test_a_detached_member_stays_so_until_it_restarts_or_attaches_itself": (
        "test_a_member_stays_detached_until_it_restarts_or_attaches_itself"
    ),
    "test_never_are_all_members_detached": "test_all_members_are_never_detached_at_the_same_time",
    "test_an_override_ends_with_its_owner_and_with_its_machine": (
        "test_an_override_is_removed_with_its_owner_and_with_its_machine"
    ),
    # workers
    "test_a_recorded_task_that_is_not_there_is_launched_and_again_only_after_a_while": (
        "test_a_recorded_task_missing_on_the_worker_is_launched_and_retried_after_a_delay"
    ),
    "test_an_exited_task_is_forgotten_only_in_an_answer_once_recorded_and_no_launch_may_come": (
        "test_an_exited_task_is_forgotten_only_in_an_answer_and_only_if_no_launch_can_follow"
    ),
    "test_a_heartbeat_no_newer_than_the_one_known_changes_nothing_and_is_not_broadcast": (
        "test_a_heartbeat_that_is_not_newer_has_no_effect_and_is_not_broadcast"
    ),
    "test_a_completed_task_is_published_with_the_time_that_it_was_seen_running": (
        "test_observers_receive_a_completed_task_with_the_time_for_which_it_was_seen_running"
    ),
    "test_only_what_decisions_depend_on_asks_for_reconciliation": (
        "test_only_relevant_changes_trigger_reconciliation"
    ),
    "test_no_epoch_expires_under_a_view_that_is_not_confirmed_for_the_whole_lease": (
        "test_no_epoch_expires_before_the_view_is_confirmed_up_to_the_end_of_the_lease"
    ),
    "test_a_former_owner_that_is_still_a_member_may_answer_for_one_lease_more": (
        "test_a_former_owner_that_is_still_a_member_may_answer_for_one_more_lease"
    ),
    "test_the_verdict_on_a_task_that_the_worker_shows": (
        "test_the_verdict_on_a_task_that_the_worker_reports"
    ),
    "test_a_missing_heartbeat_proves_nothing_and_an_ended_epoch_settles": (
        "test_a_missing_heartbeat_proves_nothing_and_an_expired_epoch_settles_the_attempt"
    ),
    "test_a_deleted_machine_settles_whatever_was_there": (
        "test_the_deletion_of_a_machine_settles_its_attempts"
    ),
    "test_a_step_beyond_it_raises_the_allocation_from_what_nobody_has": (
        "test_a_step_beyond_the_allocation_raises_it_from_the_unallocated_rest"
    ),
    "test_nothing_is_free_beside_a_task_that_no_record_explains": (
        "test_no_capacity_is_free_beside_an_orphaned_task"
    ),
}
"""name of a test -> its later name"""


@dataclass(frozen=True)
class TestFunction:
    """One test function of a commit."""

    path: str
    assertions: int
    parameters: int
    """decorators that parametrize it"""


def tests_of(commit: str) -> dict[str, TestFunction]:
    """The test functions of a commit by name."""
    found: dict[str, TestFunction] = {}
    for path in _git("ls-tree", "-r", "--name-only", commit, "tests").splitlines():
        if not path.endswith(".py"):
            continue
        for node in ast.walk(ast.parse(_git("show", f"{commit}:{path}"))):
            is_function = isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            if is_function and node.name.startswith("test_"):
                found[node.name] = _describe(path, node)
    return found


def _describe(path: str, node: ast.FunctionDef | ast.AsyncFunctionDef) -> TestFunction:
    assertions = sum(isinstance(inner, ast.Assert) for inner in ast.walk(node))
    parameters = sum("parametrize" in ast.unparse(mark) for mark in node.decorator_list)
    return TestFunction(path, assertions, parameters)


def _git(*arguments: str) -> str:
    return subprocess.run(
        ["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout


def main(before_commit: str, after_commit: str) -> int:
    """Print what differs; 1 if something is missing or weaker."""
    before, after = tests_of(before_commit), tests_of(after_commit)
    weaker = 0
    for name, old in sorted(before.items()):
        new = after.get(RENAMED.get(name, name))
        if new is None:
            weaker += 1
            print(f"missing: {old.path}::{name}")
        elif new.assertions < old.assertions or new.parameters < old.parameters:
            weaker += 1
            print(f"weaker: {new.path}::{name}: {old} -> {new}")
    print(
        f"{len(before)} tests with {sum(t.assertions for t in before.values())} assertions before,"
        f" {len(after)} with {sum(t.assertions for t in after.values())} after,"
        f" {weaker} missing or weaker"
    )
    return 1 if weaker else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
