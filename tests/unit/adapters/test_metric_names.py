"""Names of requests and calls in the metrics: operators read them, whatever classes are called."""

from __future__ import annotations

from typing import get_args

import pytest

from appledock import wire
from appledock.adapters import cloud, http_requests
from appledock.core.cloud_calls import (
    CloudRequest,
    DeleteMachines,
    ListMachines,
    ListMachineTypes,
    RentMachines,
)
from appledock.core.commands import Request
from tests.test_launches import report
from tests.test_requests import SPEC

JOB = f"{wire.PATH_JOBS}/job-000001"


@pytest.mark.parametrize(
    ("method", "path", "body", "name"),
    [
        ("POST", wire.PATH_JOBS, wire.encode(SPEC), "submit"),
        ("GET", JOB, b"", "poll"),
        ("POST", f"{JOB}/cancel", b"", "cancel"),
        ("POST", wire.PATH_REPORT, wire.encode(report(1)), "reported"),
        ("GET", wire.PATH_HEALTH, b"", "health"),
        ("GET", f"{http_requests.ADMIN_PATH_PREFIX}status", b"", "admin"),
    ],
)
def test_each_kind_of_request_keeps_its_name(
    method: str, path: str, body: bytes, name: str
) -> None:
    assert http_requests.metric_name(http_requests.parse_command(1, method, path, body)) == name


def test_each_kind_of_request_has_a_name_of_its_own() -> None:
    assert http_requests.METRIC_NAMES.keys() == set(get_args(Request))
    assert len(set(http_requests.METRIC_NAMES.values())) == len(http_requests.METRIC_NAMES)


def test_each_kind_of_call_to_the_cloud_keeps_its_name() -> None:
    requests: list[CloudRequest] = [
        ListMachineTypes(),
        ListMachines(None, 500),
        RentMachines(wire.Rent("r-1", "h4", "a", spot=False, count=1)),
        DeleteMachines(["vm-1"]),
    ]
    assert [cloud.operation(request) for request in requests] == ["types", "list", "rent", "delete"]
