"""Client of the platform's object API and host list."""

from damaskjunction.platform.client import PlatformClient
from damaskjunction.platform.documents import (
    EntryHostDocument,
    HostListDocument,
    ObjectDocument,
    RunnerDocument,
    decode_host_list,
    encode_host_list,
    from_entry_host,
    from_runner,
    to_entry_host,
    to_runner,
)
from damaskjunction.platform.types import (
    HostList,
    ObjectList,
    ObjectStore,
    StoredObject,
    WatchResult,
)

__all__ = [
    "EntryHostDocument",
    "HostList",
    "HostListDocument",
    "ObjectDocument",
    "ObjectList",
    "ObjectStore",
    "PlatformClient",
    "RunnerDocument",
    "StoredObject",
    "WatchResult",
    "decode_host_list",
    "encode_host_list",
    "from_entry_host",
    "from_runner",
    "to_entry_host",
    "to_runner",
]
