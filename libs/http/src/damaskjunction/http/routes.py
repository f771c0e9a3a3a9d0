"""Routing of requests to handlers, which decorators register by method and path."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias
from urllib.parse import unquote

from damaskjunction.http.messages import HttpError, Request, Response

Handler: TypeAlias = Callable[..., Awaitable[Response]]

_PARAMETER_PATTERN = re.compile(r"\\\{(\w+)(:path)?\\\}")


class RouteMatch(NamedTuple):
    """The handler for a request and the parameters parsed from its path."""

    handler: Handler
    parameters: dict[str, str]


class _Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler


def _compile_template(template: str) -> re.Pattern[str]:
    """Compile a path template such as ``/jobs/{job}`` to a regular expression.

    A parameter matches one path segment; ``{rest:path}`` matches slashes too.
    """
    expression = _PARAMETER_PATTERN.sub(
        lambda match: f"(?P<{match[1]}>{'.+' if match[2] else '[^/]+'})",
        re.escape(template).replace(r"\:", ":"),
    )
    return re.compile(expression + r"\Z")


class Routes:
    """Routing table: handlers by method and path template.

    Examples
    --------
    >>> routes = Routes()
    >>> @routes.register("GET", "/v1/jobs/{job}")
    ... async def show(request: Request, job: str) -> Response: ...
    """

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def register(self, method: str, template: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler for a method and template."""

        def decorator(handler: Handler) -> Handler:
            self._routes.append(_Route(method, _compile_template(template), handler))
            return handler

        return decorator

    def find(self, method: str, path: str) -> RouteMatch:
        """Return the handler that matches a request, with its path parameters.

        Raises
        ------
        HttpError
            With status 404 if no route matches the path, 405 if none of those that
            match allows the method.
        """
        allowed = []
        for route in self._routes:
            path_match = route.pattern.match(path)
            if path_match is None:
                continue
            if route.method == method:
                values = path_match.groupdict().items()
                parameters = {name: unquote(value) for name, value in values}
                return RouteMatch(route.handler, parameters)
            allowed.append(route.method)
        if allowed:
            methods = ", ".join(sorted(allowed))
            raise HttpError(405, "method_not_allowed", f"allowed methods: {methods}")
        raise HttpError(404, "no_such_path", f"no route matches path {path!r}")

    async def handle(self, request: Request) -> Response:
        """Call the handler that matches a request and return its response."""
        match = self.find(request.method, request.path)
        return await match.handler(request, **match.parameters)
