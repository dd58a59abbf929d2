"""Changes requested by operators: run to completion, and answered."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from logbook import Logger
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from gentianwharf.rules import ApplyResult, RulesConflict, RulesRefused

from ._replies import ProblemType, reply_json, reply_problem

Result = TypeVar("Result")
log = Logger("gentianwharf.admin")


def reply_apply_result(request: Any, result: ApplyResult) -> bytes:
    """Answer with the result of applying a rule document."""
    if isinstance(result, RulesRefused):
        return reply_problem(
            request,
            ProblemType.INPUT,
            f"the rule document has {len(result.findings)} findings; nothing was"
            " written",
            findings=result.findings,
        )
    if isinstance(result, RulesConflict):
        return reply_problem(
            request,
            ProblemType.CONFLICT,
            f"{result.current.author} was faster: the rules are at revision"
            f" {result.current.revision}, this document was edited from"
            f" {result.edited_from_revision}; nothing of it was written",
            conflict=result,
        )
    return reply_json(request, result)


def run_to_completion(operation: Coroutine[Any, Any, Result]) -> Deferred[Result]:
    """Run a change to completion even when its caller disconnects.

    Klein cancels the Deferred that a route returned when the connection closes. A write
    to the store that is cancelled half-way would never be read back, and it would
    remain unknown whether it took effect.
    """
    completion = ensureDeferred(operation)
    reply: Deferred[Result] = Deferred()

    def forward(result: Any) -> None:
        if not reply.called:
            reply.callback(result)
        elif isinstance(result, Failure):
            log.error(
                "change failed after its caller disconnected: {}",
                result.getErrorMessage(),
            )

    completion.addBoth(forward)
    return reply
