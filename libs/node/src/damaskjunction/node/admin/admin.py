"""Administration routes: configuration, status, state dump, metrics and log level."""

from __future__ import annotations

import asyncio
import hmac
import uuid
from collections.abc import Callable, Sequence
from typing import TypedDict

from damaskjunction.core import (
    ConflictError,
    DataCentre,
    FindingsError,
    PlatformUnavailableError,
    PlatformUnknownError,
    RequestError,
    Revision,
)
from damaskjunction.http import (
    HttpError,
    Request,
    Response,
    Routes,
    read_json,
    to_json_response,
)
from damaskjunction.node.admin.registered_names import check_registered_names
from damaskjunction.node.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from damaskjunction.node.membership.membership import CONTROL_LANE, Membership
from damaskjunction.node.slices import run_in_slices
from damaskjunction.node.state import HostView
from damaskjunction.platform import ObjectStore
from damaskjunction.settings import read_configuration_in_slices
from damaskjunction.telemetry import Metrics, StateDump, set_log_level
from damaskjunction.wire import (
    DataCentreQuery,
    DataCentreStatus,
    HostStatus,
    PeerLinks,
)

STATUS_TIMEOUT_S = 2.0
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"


class HostStatusDocument(TypedDict):
    """Active revisions and state of one host, as JSON."""

    host_id: str
    configuration_revision: int
    plan_revision: int
    state: str


class StatusDocument(TypedDict):
    """How far the latest configuration has spread through the fleet, as JSON.

    ``lacking`` names the hosts that do not have it yet or cannot be reached.
    """

    revision: int
    is_pending: bool
    n_in_force: int
    n_hosts: int
    lacking: list[str]
    hosts: list[HostStatusDocument]
    assignments: dict[str, str]


class Admin:
    """The administration routes of one host.

    Parameters
    ----------
    view : HostView
        Configuration, plan and fleet that are active on this host.
    store : ObjectStore
        Stores the configuration.
    links : PeerLinks
        Links to other hosts, to query the status of their data centre.
    membership : Membership
        Known hosts, and the active revisions that they announced.
    on_stored : callable
        Called with each configuration that was stored through this host, and its
        revision.
    metrics : Metrics
        Metrics of this process.
    dump : StateDump
        State dump of this process.
    token : str
        The administration token; when empty, requests need no token.
    """

    def __init__(
        self,
        view: HostView,
        store: ObjectStore,
        links: PeerLinks,
        membership: Membership,
        *,
        on_stored: Callable[[bytes, Revision], None],
        metrics: Metrics,
        dump: StateDump,
        token: str,
    ) -> None:
        self._view = view
        self._store = store
        self._links = links
        self._membership = membership
        self._on_stored = on_stored
        self._metrics = metrics
        self._dump = dump
        self._token = token

    def register(self, routes: Routes) -> None:
        """Register the administration routes."""
        routes.register("GET", "/v1/configuration")(self.show_configuration)
        routes.register("PUT", "/v1/configuration")(self.apply_configuration)
        routes.register("GET", "/v1/status")(self.show_status)
        routes.register("GET", "/v1/dump")(self.show_dump)
        routes.register("GET", "/metrics")(self.show_metrics)
        routes.register("PUT", "/v1/log-level")(self.change_log_level)

    def own_status(self) -> HostStatus:
        """Return the active revisions and state of this host."""
        state = "serving" if self._view.is_ready else "waiting"
        return HostStatus(
            self._view.own.host_id,
            self._view.configuration.revision,
            self._view.plan.revision,
            "leaving" if self._view.is_draining else state,
        )

    async def show_configuration(self, request: Request) -> Response:
        """Return the stored configuration as text, with its revision in a header."""
        self.authorize(request)
        try:
            stored = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        except PlatformUnavailableError as error:
            raise HttpError(503, "platform_unavailable", str(error)) from None
        if stored is None:
            raise HttpError(
                404, "no_configuration", "no configuration has been applied yet"
            )
        headers = {"Revision": str(stored.version)}
        return Response(200, stored.value, TEXT_CONTENT_TYPE, headers)

    async def apply_configuration(self, request: Request) -> Response:
        """Validate a configuration and store it if ``If-Match`` is the stored revision.

        Without the header, revision 0 is expected: nothing may be stored yet.
        """
        self.authorize(request)
        text = (await request.body.read()).decode(errors="replace")
        source = request.query.get("source", "text")
        editor = request.query.get("editor", "unknown")
        try:
            slices = read_configuration_in_slices(text, source)
            check_registered_names(await run_in_slices(slices), text, source)
        except FindingsError as error:
            findings = [str(finding) for finding in error.findings]
            raise HttpError(422, "findings", findings=findings) from None
        expected = _read_expected_revision(request)
        revision = await self._store_configuration(text, expected, editor)
        self._on_stored(text.encode(), revision)
        return to_json_response({"revision": revision})

    async def _store_configuration(self, text: str, expected: int, editor: str) -> int:
        try:
            return await self._store.put(
                CONFIGURATION_KIND,
                CONFIGURATION_NAME,
                text.encode(),
                expected_version=expected,
                operation_id=f"{editor}/{uuid.uuid4().hex}",
            )
        except ConflictError as error:
            other_editor = error.operation_id.partition("/")[0]
            detail = (
                f"the configuration is at revision {error.version}, by {other_editor!r}"
            )
            raise HttpError(
                409, "conflict", detail, revision=error.version, editor=other_editor
            ) from None
        except PlatformUnavailableError as error:
            raise HttpError(503, "not_accepted", str(error)) from None
        except PlatformUnknownError as error:
            raise HttpError(504, "acceptance_unknown", str(error)) from None

    def data_centre_status(self) -> DataCentreStatus:
        """Return the active revisions and states of the hosts of this data centre."""
        own = self._view.own
        others = self._membership.host_statuses(own.data_centre)
        hosts = [status for status in others if status.host_id != own.host_id]
        return DataCentreStatus(own.data_centre, (self.own_status(), *hosts))

    async def show_status(self, request: Request) -> Response:
        """Return the status of every host, querying one watcher in each data centre."""
        self.authorize(request)
        names = self._membership.data_centres()
        responses = await asyncio.gather(*(self._query_status(name) for name in names))
        hosts = sorted(status for response in responses for status in response.hosts)
        document = make_status_document(self._view, hosts)
        return to_json_response(document)

    async def _query_status(self, data_centre: DataCentre) -> DataCentreStatus:
        """Query the watchers of a data centre one by one until one responds.

        When none does, the hosts known here are returned as unreachable.
        """
        own = self._view.own
        watchers = self._membership.detector.watchers(data_centre)
        hosts = [member.host for member in watchers]
        if any(host.host_id == own.host_id for host in hosts):
            return self.data_centre_status()
        for host in hosts:
            try:
                async with asyncio.timeout(STATUS_TIMEOUT_S):
                    response = await self._links.ask(
                        host.peer, CONTROL_LANE, DataCentreQuery()
                    )
            except (RequestError, TimeoutError):
                continue  # try the next watcher of the data centre
            assert isinstance(response, DataCentreStatus)
            return (
                response
                if data_centre != own.data_centre
                else self._refresh_own_entry(response)
            )
        known_statuses = self._membership.host_statuses(data_centre)
        unreachable = tuple(
            status._replace(state="unreachable") for status in known_statuses
        )
        return self._refresh_own_entry(DataCentreStatus(data_centre, unreachable))

    def _refresh_own_entry(self, response: DataCentreStatus) -> DataCentreStatus:
        """Return a response with this host's entry replaced by its current status."""
        own = self.own_status()
        if response.data_centre != self._view.own.data_centre:
            return response
        others = [status for status in response.hosts if status.host_id != own.host_id]
        return response._replace(hosts=(own, *others))

    async def show_dump(self, request: Request) -> Response:
        """Return the state dump of this process."""
        self.authorize(request)
        return to_json_response(self._dump.to_document())

    async def show_metrics(self, request: Request) -> Response:
        """Return the metrics of this process."""
        return Response(200, self._metrics.to_text().encode(), TEXT_CONTENT_TYPE)

    async def change_log_level(self, request: Request) -> Response:
        """Change the log level of this process."""
        self.authorize(request)
        document = await read_json(request)
        try:
            set_log_level(str(document["level"]))
        except (KeyError, TypeError, ValueError) as error:
            raise HttpError(400, "bad_request", str(error), key="level") from None
        return to_json_response(document)

    def authorize(self, request: Request) -> None:
        """Check that a request has the administration token.

        Raises
        ------
        HttpError
            With status 401 when the token is missing or wrong.
        """
        if not self._token:
            return
        _, _, presented_token = request.headers.get("authorization", "").partition(" ")
        if not hmac.compare_digest(presented_token.encode(), self._token.encode()):
            detail = "send 'Authorization: Bearer <administration token>'"
            raise HttpError(401, "not_authorized", detail)


def _read_expected_revision(request: Request) -> Revision:
    """Return the revision in ``If-Match``, or 0 without the header.

    Raises
    ------
    HttpError
        400 when it is not a number.
    """
    text = request.headers.get("if-match", "0")
    try:
        return int(text)
    except ValueError:
        detail = f"expected a revision number, got {text!r}"
        raise HttpError(400, "bad_request", detail, key="If-Match") from None


def make_status_document(view: HostView, hosts: Sequence[HostStatus]) -> StatusDocument:
    """Return the status of the fleet.

    The revision is the highest that is active on any host. Leaving hosts are not
    counted, so that a configuration is not pending because of them.
    """
    counted = [status for status in hosts if status.state != "leaving"]
    revision = max((status.configuration_revision for status in hosts), default=0)
    missing = [
        status.host_id
        for status in counted
        if status.configuration_revision < revision or status.state == "unreachable"
    ]
    assignments = sorted(view.plan.assignments_by_runner.items())
    return {
        "revision": revision,
        "is_pending": bool(missing),
        "n_in_force": len(counted) - len(missing),
        "n_hosts": len(counted),
        "lacking": missing,
        "hosts": [_host_status_to_document(status) for status in hosts],
        "assignments": {
            runner_id: assignment.service for runner_id, assignment in assignments
        },
    }


def _host_status_to_document(status: HostStatus) -> HostStatusDocument:
    return {
        "host_id": status.host_id,
        "configuration_revision": status.configuration_revision,
        "plan_revision": status.plan_revision,
        "state": status.state,
    }
