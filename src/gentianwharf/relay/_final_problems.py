"""Problem documents that end a request for a reason inside the host."""

from gentianwharf.runs import RunStatus

from ._problem import Problem

# Sent for a request that may have run and has no response.
STATUS_UNKNOWN = 502
# Short, since other hosts can serve the retry at once.
RETRY_AFTER_S = 0.1

UNKNOWN_DETAIL = (
    "The request may have run. Ask for its outcome with its idempotency key"
    " or its request id before sending it again."
)

INTERNAL_ERROR = Problem(
    status=500,
    title="a fault of the router",
    run=RunStatus.UNKNOWN,
    detail="Its log has the trace under this request's id.",
    step="serve",
)

STOPPING_NOT_RUN = Problem(
    status=503,
    title="the host is stopping",
    run=RunStatus.NOT_RUN,
    detail="The request was not run. Another host serves it.",
    retry_after_s=RETRY_AFTER_S,
    step="shutdown",
)
STOPPING_UNKNOWN = Problem(
    status=STATUS_UNKNOWN,
    title="the host is stopping, and the server has not answered",
    run=RunStatus.UNKNOWN,
    detail=UNKNOWN_DETAIL,
    step="shutdown",
)

CUT_OFF_NOT_RUN = Problem(
    status=503,
    title="the wait for a server was cut off",
    run=RunStatus.NOT_RUN,
    detail="The request was not run.",
    retry_after_s=RETRY_AFTER_S,
    step="admit",
)
CUT_OFF_UNKNOWN = Problem(
    status=STATUS_UNKNOWN,
    title="the wait for the answer was cut off",
    run=RunStatus.UNKNOWN,
    detail=UNKNOWN_DETAIL,
    step="answer",
)
