"""Stand-in for a runner of a plain service, which counts executions of each call."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Address
from damaskjunction.http import (
    HttpError,
    HttpServer,
    Request,
    Response,
    Routes,
    to_json_response,
)
from damaskjunction.standins.faults import Faults

SERVICE_TIME_S = 0.005


class PlainStandin:
    """A plain HTTP service that echoes the body of any POST.

    Each execution also prints a line to standard output, so that the record survives
    the process.

    Faults: ``slow_s`` (seconds that each call takes; 0 means ``SERVICE_TIME_S``),
    ``lose_answers`` (the next n calls are executed and their connections are aborted
    without a response), ``refuse`` (the next n calls are executed and get status 500).
    """

    def __init__(self, address: Address, service: str) -> None:
        self._service = service
        self._runs_by_id: dict[str, int] = {}
        self._runs_by_body: dict[str, int] = {}
        self.faults = Faults("slow_s", "lose_answers", "refuse")
        routes = Routes()
        self.faults.register(routes)
        routes.register("GET", "/test/runs")(self._get_runs)
        routes.register("POST", "/{path:path}")(self._call)
        self._server = HttpServer(address, routes.handle)

    async def start(self) -> None:
        """Start to listen and serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    async def _call(self, request: Request, path: str) -> Response:
        body = (await request.body.read()).decode()
        request_id = request.headers.get("request-id", "")
        self._runs_by_id[request_id] = self._runs_by_id.get(request_id, 0) + 1
        self._runs_by_body[body] = self._runs_by_body.get(body, 0) + 1
        print("run", body, flush=True)
        await asyncio.sleep(self.faults["slow_s"] or SERVICE_TIME_S)
        if self.faults.consume("refuse"):
            raise HttpError(500, "failed")
        if self.faults.consume("lose_answers"):
            raise ConnectionResetError("injected fault: response lost")
        document = {"service": self._service, "path": f"/{path}", "body": body}
        return to_json_response(document)

    async def _get_runs(self, request: Request) -> Response:
        document = {
            "runs_by_id": self._runs_by_id,
            "runs_by_body": self._runs_by_body,
        }
        return to_json_response(document)
