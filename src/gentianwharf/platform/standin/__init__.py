"""Stand-ins for the users' platform: its store and its backend servers.

For trials and tests on one machine. They implement the platform's HTTP interfaces, so
an entry host runs against them as it runs on the platform.
"""

from ._items import Items
from ._late_orders import LateKind, ServerOrder
from ._orders import InvalidOrderError, OrderReader
from ._records import Arrival, BodyReport, HoldChange, RequestRun, ServerSpec
from ._rejections import Rejections
from ._rules import (
    ADDED,
    CALLER_LIMITS,
    KEYED,
    LOOK_UPS,
    MAX_ATTEMPTS,
    MOVED,
    POSTINGS,
    UNKEYED,
    UPLOADS,
    configuration,
)
from ._server import EXIT_CRASHED, StandInServer
from ._settings import (
    CALLERS_PORT,
    EXTRA_RETRIES,
    INTERNAL_PORT,
    READINESS_PORT,
    RETRY_BUDGET_RATIO,
    RETRY_WINDOW_S,
    settings_text,
)
from ._store import MAX_VALUE_BYTES, StandInStore
from ._store_faults import Outage, Revoked, StoreFaults, StoreOrder, StoreOrderReport
from ._uploads import UPLOAD_HEADER, EarlyAnswer, upload_body

__all__ = [
    "ADDED",
    "CALLERS_PORT",
    "CALLER_LIMITS",
    "EXIT_CRASHED",
    "EXTRA_RETRIES",
    "INTERNAL_PORT",
    "KEYED",
    "LOOK_UPS",
    "MAX_ATTEMPTS",
    "MAX_VALUE_BYTES",
    "MOVED",
    "POSTINGS",
    "READINESS_PORT",
    "RETRY_BUDGET_RATIO",
    "RETRY_WINDOW_S",
    "UNKEYED",
    "UPLOADS",
    "UPLOAD_HEADER",
    "Arrival",
    "BodyReport",
    "EarlyAnswer",
    "HoldChange",
    "InvalidOrderError",
    "Items",
    "LateKind",
    "OrderReader",
    "Outage",
    "Rejections",
    "RequestRun",
    "Revoked",
    "ServerOrder",
    "ServerSpec",
    "StandInServer",
    "StandInStore",
    "StoreFaults",
    "StoreOrder",
    "StoreOrderReport",
    "configuration",
    "settings_text",
    "upload_body",
]
