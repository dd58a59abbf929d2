"""Repeats the id of a call in its answer; see docs/design/platform.md, "HTTP"."""

from typing import Any

from gentianwharf.infra.wire import CALL_ID


def repeat_call_id(request: Any) -> None:
    """Set the header with the call's id in the answer, if the call has one."""
    call_id = request.getHeader(CALL_ID)
    if call_id is not None:
        request.setHeader(CALL_ID, call_id)
