"""Routes of the administration API: method and path pattern, each with its handler."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from appledock.core.commands import AdminRequest

Parameters = Sequence[str]
"""segments of the path that stand at the pattern's parameters, in their order"""
Handler = Callable[[AdminRequest, Parameters], None]


class Route(NamedTuple):
    """A method and a path, and what handles them."""

    method: str
    pattern: tuple[str, ...]
    """the path's segments; one in braces is a parameter"""
    handler: Handler


class RouteNotFoundError(LookupError):
    """No route has the path."""


class MethodNotAllowedError(LookupError):
    """The path exists, but not with this method."""


def route(method: str, path: str, handler: Handler) -> Route:
    """A route from a path such as `machines/{name}/drain`."""
    return Route(method, tuple(path.split("/")), handler)


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self._routes = tuple(routes)

    def find(self, method: str, path: tuple[str, ...]) -> tuple[Handler, Parameters]:
        """The handler of the request, and the parameters in its path.

        Raises RouteNotFoundError, or MethodNotAllowedError, which is told apart for paths of one
        segment only: that is how the API has always answered.
        """
        for candidate in self._routes:
            parameters = _match(candidate.pattern, path)
            if candidate.method == method and parameters is not None:
                return candidate.handler, parameters
        if len(path) == 1 and any(candidate.pattern == path for candidate in self._routes):
            raise MethodNotAllowedError
        raise RouteNotFoundError


def _match(pattern: tuple[str, ...], path: tuple[str, ...]) -> list[str] | None:
    """The path's parameters; None: the path is not of this pattern."""
    if len(pattern) != len(path):
        return None
    parameters: list[str] = []
    for expected, segment in zip(pattern, path, strict=True):
        if expected.startswith("{"):
            parameters.append(segment)
        elif expected != segment:
            return None
    return parameters
