"""Route table of the administration API."""

from __future__ import annotations

import pytest

from appledock.core.api.admin_routes import (
    MethodNotAllowedError,
    Parameters,
    RouteNotFoundError,
    RouteTable,
    route,
)
from appledock.core.commands import AdminRequest


def handle(request: AdminRequest, parameters: Parameters) -> None:
    """Handle no request; the table only returns this function."""


TABLE = RouteTable(
    [
        route("GET", "settings", handle),
        route("PATCH", "settings", handle),
        route("POST", "machines/{name}/drain", handle),
    ]
)


def test_parameters_are_the_segments_at_the_patterns_parameters() -> None:
    assert TABLE.find("PATCH", ("settings",)) == (handle, [])
    assert TABLE.find("POST", ("machines", "vm-1", "drain")) == (handle, ["vm-1"])


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", ()),
        ("GET", ("",)),
        ("GET", ("settings", "")),
        ("POST", ("machines", "vm-1", "delete")),
        # In a path of several segments, a wrong method is not told apart from a wrong path.
        ("GET", ("machines", "vm-1", "drain")),
    ],
)
def test_a_path_without_a_route_is_not_found(method: str, path: tuple[str, ...]) -> None:
    with pytest.raises(RouteNotFoundError):
        TABLE.find(method, path)


def test_a_path_of_one_segment_with_another_method_is_not_allowed() -> None:
    with pytest.raises(MethodNotAllowedError):
        TABLE.find("DELETE", ("settings",))
