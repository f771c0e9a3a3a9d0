"""Routes: handlers of requests by method and path pattern, filled by decorators."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias
from urllib.parse import unquote

from damaskjunction.http.messages import HttpError, Request, Response

Handler: TypeAlias = Callable[..., Awaitable[Response]]

_PARAMETER = re.compile(r"\\\{(\w+)(:path)?\\\}")


class Match(NamedTuple):
    """The handler of a request and the parameters taken from its path."""

    handler: Handler
    parameters: dict[str, str]


class _Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler


def _compile(template: str) -> re.Pattern[str]:
    """Return the pattern of ``/jobs/{job}``; ``{rest:path}`` also takes slashes."""
    expression = _PARAMETER.sub(
        lambda match: f"(?P<{match[1]}>{'.+' if match[2] else '[^/]+'})",
        re.escape(template).replace(r"\:", ":"),
    )
    return re.compile(expression + r"\Z")


class Routes:
    """Handlers by method and path.

    Examples
    --------
    >>> routes = Routes()
    >>> @routes.register("GET", "/v1/jobs/{job}")
    ... async def show(request: Request, job: str) -> Response: ...
    """

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def register(self, method: str, template: str) -> Callable[[Handler], Handler]:
        """Return a decorator that enters a handler for ``method`` on ``template``."""

        def enter(handler: Handler) -> Handler:
            self._routes.append(_Route(method, _compile(template), handler))
            return handler

        return enter

    def find(self, method: str, path: str) -> Match:
        """Return the handler for a request.

        Raises
        ------
        HttpError
            With status 404 for an unknown path, 405 for an unknown method on it.
        """
        allowed = []
        for route in self._routes:
            matched = route.pattern.match(path)
            if matched is None:
                continue
            if route.method == method:
                values = matched.groupdict().items()
                parameters = {name: unquote(value) for name, value in values}
                return Match(route.handler, parameters)
            allowed.append(route.method)
        if allowed:
            methods = ", ".join(sorted(allowed))
            raise HttpError(405, "method_not_allowed", f"allowed here: {methods}")
        raise HttpError(404, "no_such_path", f"nothing is served at {path!r}")

    async def handle(self, request: Request) -> Response:
        """Answer a request by the handler registered for it."""
        match = self.find(request.method, request.path)
        return await match.handler(request, **match.parameters)
