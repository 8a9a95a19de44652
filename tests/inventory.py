"""Compares the tests of two commits, and lists those that are missing or have fewer assertions.

    python -m tests.inventory 56285b0 HEAD

Not run in CI. A renamed test counts as missing unless `RENAMED` maps its old name to its new one.
The exit status is 1 if a test is missing or has fewer assertions or parametrizing decorators.
"""

from __future__ import annotations

import ast
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]

RENAMED = {
    # loopback
    "test_load_is_spread_over_real_processes_and_all_of_them_end": (
        "test_load_is_rebalanced_by_real_processes_and_all_of_them_end"
    ),
    # equivalence
    "test_effects_are_those_of_the_baseline": ("test_the_effects_equal_those_of_the_baseline"),
    "test_a_changed_constant_is_found": ("test_a_changed_constant_is_detected"),
    "test_a_swapped_order_is_found_at_its_place": (
        "test_swapped_effects_are_detected_at_their_position"
    ),
    "test_a_lost_effect_is_found_at_its_place": (
        "test_a_missing_effect_is_detected_at_its_position"
    ),
    "test_the_command_prints_the_place_with_both_sides_and_fails": (
        "test_the_command_prints_the_position_with_both_versions_and_fails"
    ),
    "test_an_error_of_the_code_is_told": ("test_an_error_of_the_code_is_reported"),
    # judge
    "test_silence_taken_for_settlement": ("test_settlement_without_lease_expiry_is_detected"),
    "test_missing_taken_for_settlement_without_a_higher_term": (
        "test_settlement_of_missing_tasks_without_a_higher_term_is_detected"
    ),
    "test_steps_without_the_job_version": (
        "test_writes_without_the_job_version_condition_are_detected"
    ),
    "test_a_fenced_controller_that_still_writes_and_answers": (
        "test_a_fenced_controller_that_still_writes_and_answers_is_detected"
    ),
    "test_steps_that_do_not_charge_the_team": ("test_steps_that_reserve_no_quota_are_detected"),
    "test_machines_taken_whatever_the_job_allows": (
        "test_placement_on_machines_that_the_job_does_not_allow_is_detected"
    ),
    "test_answers_without_proof": ("test_poll_answers_without_confirmation_are_detected"),
    "test_cancelled_jobs_that_are_never_halted": (
        "test_cancelled_jobs_that_are_never_halted_are_detected"
    ),
    "test_done_before_all_tasks_are": ("test_a_job_that_is_done_before_all_its_tasks_is_detected"),
    "test_a_batch_job_goes_to_the_peer_with_most_free_slots_if_it_has_enough": (
        "test_an_array_goes_to_the_peer_with_most_free_slots_if_it_has_enough"
    ),
    "test_a_machine_reserved_for_replicas_admits_no_batch_job": (
        "test_a_machine_reserved_for_replicas_admits_no_array"
    ),
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
    # api
    "test_a_request_gets_one_final_answer": "test_a_request_gets_a_single_answer",
    "test_requests_before_the_first_load_are_refused_to_be_repeated": (
        "test_requests_before_the_first_load_are_refused_with_a_time_to_retry"
    ),
    "test_requests_beyond_the_bound_are_refused_to_be_repeated": (
        "test_requests_beyond_the_limit_are_refused_with_a_time_to_retry"
    ),
    "test_a_committed_change_takes_effect_here_at_once": (
        "test_a_committed_change_takes_effect_on_this_controller_at_once"
    ),
    "test_a_change_made_meanwhile_is_a_conflict_and_the_settings_are_read_again": (
        "test_a_concurrent_change_is_a_conflict_after_which_the_settings_are_read_again"
    ),
    "test_an_unknown_outcome_is_answered_with_when_to_try_again": (
        "test_an_unknown_outcome_is_answered_with_a_time_to_retry"
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
    "test_a_batch_job_that_was_handed_here_rests_before_it_is_handed_off_again": (
        "test_an_array_handed_to_this_controller_stays_there_during_the_cooldown"
    ),
    "test_a_gang_goes_whole_to_one_peer_or_to_the_leader_for_all_machines": (
        "test_a_gang_is_handed_to_a_peer_on_which_it_fits_whole_or_else_to_the_leader"
    ),
    "test_a_job_cools_down_after_its_move_and_hardly_after_one_that_drains": (
        "test_the_cooldown_after_a_move_is_short_if_its_source_is_being_drained"
    ),
    "test_the_destination_s_owner_reserves_for_one_move_at_a_time": (
        "test_the_destination_owner_reserves_for_one_move_at_a_time"
    ),
    "test_the_job_s_owner_stops_the_task_and_places_its_next_attempt_once_it_is_settled": (
        "test_the_job_owner_stops_the_task_and_places_its_next_attempt_after_settlement"
    ),
    "test_a_refused_order_ends_at_its_requester_and_the_destination_s_owner": (
        "test_a_refusal_is_reported_to_the_requester_and_to_the_destination_owner"
    ),
    "test_placed_tasks_name_each_machine_once_and_their_capacity_is_reserved": (
        "test_placed_tasks_are_grouped_by_machine_and_their_capacity_is_reserved"
    ),
    "test_a_co_located_job_is_confined_to_its_zone_or_else_to_the_freest": (
        "test_a_co_located_job_gets_the_zone_of_its_tasks_or_the_one_with_most_free_slots"
    ),
    "test_tasks_that_lose_least_are_stopped_and_their_machine_is_claimed": (
        "test_the_victims_with_least_lost_work_are_stopped_and_their_machine_is_claimed"
    ),
    "test_the_job_is_handed_to_the_controller_of_the_cheapest_victims_if_none_are_ours": (
        "test_the_job_is_handed_to_the_owner_of_the_cheapest_victims_if_this_one_has_none"
    ),
    "test_a_claim_ends_with_its_time_its_placement_and_its_job": (
        "test_a_claim_ends_when_it_expires_and_when_its_job_is_placed_or_ends"
    ),
    "test_gangs_cancelled_jobs_and_those_of_inherited_rank_are_spared": (
        "test_gangs_cancelled_jobs_and_jobs_of_equal_inherited_rank_are_not_preempted"
    ),
    "test_stopping_attempts_and_those_of_earlier_epochs_free_nothing": (
        "test_attempts_that_are_stopping_or_of_earlier_agent_epochs_are_not_victims"
    ),
    "test_a_job_that_waits_too_long_is_served_first_in_its_rank_and_later_before_all": (
        "test_a_job_that_waits_too_long_comes_first_in_its_rank_and_later_before_all"
    ),
    "test_jobs_that_may_not_start_wait_with_the_reason_of_the_first_phase_that_says_so": (
        "test_jobs_that_may_not_start_wait_with_the_reason_of_the_first_phase_that_refuses"
    ),
    "test_what_fits_is_placed_and_reserved_and_the_rest_handed_off": (
        "test_tasks_that_fit_are_placed_and_reserved_and_the_others_handed_off"
    ),
    "test_a_step_that_waits_for_more_capacity_gives_back_what_it_reserved": (
        "test_a_step_that_waits_for_more_capacity_releases_its_reservations"
    ),
    "test_a_job_whose_team_is_at_its_limit_goes_where_the_teams_own_work_can_be_preempted": (
        "test_a_job_of_a_team_at_its_limit_is_handed_to_where_the_teams_work_can_be_preempted"
    ),
    "test_capacity_is_counted_anew_where_a_step_cannot_be_written_now": (
        "test_the_capacity_of_machines_is_recomputed_if_a_step_cannot_be_written"
    ),
    # capacity
    "test_tasks_with_checkpoints_are_stopped_from_the_deadline_of_the_change_on": (
        "test_tasks_with_checkpoints_are_stopped_once_the_deadline_of_the_change_has_passed"
    ),
    "test_a_lender_gets_its_machine_back_after_the_time_that_the_file_names": (
        "test_tasks_on_a_returned_machine_are_stopped_after_the_configured_time"
    ),
    # engine and rebalancing
    "test_a_timer_that_fails_does_not_stop_the_others": (
        "test_a_tick_that_fails_does_not_stop_the_other_components"
    ),
    "test_store_calls_are_sent_whatever_fails_after_a_batch": (
        "test_store_calls_are_sent_even_if_the_processing_of_changes_fails"
    ),
    "test_a_changed_job_is_reconciled_and_met_dependencies_are_noted_once_they_are": (
        "test_a_changed_job_is_reconciled_and_the_queue_is_notified_of_met_dependencies"
    ),
    "test_a_machine_that_nothing_can_be_moved_off_is_left_alone_for_a_while": (
        "test_a_machine_that_no_task_can_be_moved_off_is_skipped_during_its_backoff"
    ),
    "test_operators_pause_moves_or_only_count_them_while_loads_are_smoothed_on": (
        "test_operators_can_pause_moves_or_only_count_them_while_loads_are_still_smoothed"
    ),
}
"""old name of a test -> its new name"""


@dataclass(frozen=True)
class TestFunction:
    """One test function of a commit."""

    path: str
    assertions: int
    """number of assert statements"""
    parameters: int
    """number of decorators that parametrize the function"""


def tests_of(commit: str) -> dict[str, TestFunction]:
    """Return the test functions of a commit by name."""
    tests: dict[str, TestFunction] = {}
    for path in _git("ls-tree", "-r", "--name-only", commit, "tests").splitlines():
        if not path.endswith(".py"):
            continue
        for node in ast.walk(ast.parse(_git("show", f"{commit}:{path}"))):
            is_function = isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            if is_function and node.name.startswith("test_"):
                tests[node.name] = _describe(path, node)
    return tests


def _describe(path: str, node: ast.FunctionDef | ast.AsyncFunctionDef) -> TestFunction:
    assertions = sum(isinstance(inner, ast.Assert) for inner in ast.walk(node))
    parameters = sum("parametrize" in ast.unparse(mark) for mark in node.decorator_list)
    return TestFunction(path, assertions, parameters)


def _git(*arguments: str) -> str:
    return subprocess.run(
        ["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout


def main(before_commit: str, after_commit: str) -> int:
    """Print missing and weaker tests and the totals; return 1 if there is one, else 0."""
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
