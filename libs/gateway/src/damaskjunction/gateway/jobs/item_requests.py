"""Batch items as the requests that runners get."""

from __future__ import annotations

from damaskjunction.batch import BatchItem, JobRecord
from damaskjunction.platform import CallerRequest, for_workspace, item_request
from damaskjunction.routing import RouteTable


def make_item_request(
    item: BatchItem, record: JobRecord, table: RouteTable
) -> CallerRequest:
    """Return the request of an item of a job, on behalf of the job's workspace.

    Its headers stay as they are only if there are no workspaces at all.
    """
    request = item_request(item, record.host)
    if not record.workspace and not table.workspaces_by_name:
        return request
    return for_workspace(request, record.workspace)
