"""Routes of the administration API, each a method and a path pattern with a handler."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from appledock.core.commands import AdminRequest

Parameters = Sequence[str]
"""Segments of the path that match the pattern's parameters, in the order of the path."""
Handler = Callable[[AdminRequest, Parameters], None]
"""Answers a request, given the parameters in its path."""


class Route(NamedTuple):
    """A method and a path pattern, with the handler of their requests."""

    method: str
    pattern: tuple[str, ...]
    """Segments of the path; a segment in braces is a parameter."""
    handler: Handler


class RouteNotFoundError(LookupError):
    """No route matches the request."""


class MethodNotAllowedError(LookupError):
    """The path exists, but only with other methods."""


def route(method: str, path: str, handler: Handler) -> Route:
    """Return the route for a path pattern such as `machines/{name}/drain`."""
    return Route(method, tuple(path.split("/")), handler)


class RouteTable:
    """Finds the handler of a request by its method and path."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self._routes = tuple(routes)

    def find(self, method: str, path: tuple[str, ...]) -> tuple[Handler, Parameters]:
        """Return the handler of the request and the parameters in its path.

        For compatibility with earlier versions of the API, a wrong method is told apart from an
        unknown path only if the path has one segment.

        Raises:
            MethodNotAllowedError: the path has one segment and exists with other methods only.
            RouteNotFoundError: the request has no route for any other reason.
        """
        for candidate in self._routes:
            parameters = _match(candidate.pattern, path)
            if candidate.method == method and parameters is not None:
                return candidate.handler, parameters
        if len(path) == 1 and any(candidate.pattern == path for candidate in self._routes):
            raise MethodNotAllowedError
        raise RouteNotFoundError


def _match(pattern: tuple[str, ...], path: tuple[str, ...]) -> list[str] | None:
    """Return the path's parameters; None if the path does not match the pattern."""
    if len(pattern) != len(path):
        return None
    parameters: list[str] = []
    for expected, segment in zip(pattern, path, strict=True):
        if expected.startswith("{"):
            parameters.append(segment)
        elif expected != segment:
            return None
    return parameters
