"""Changes that operators ask for: run to their end, and answered."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from logbook import Logger
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from gentianwharf.rules import ApplyResult, RulesConflict, RulesRefused

from ._replies import ProblemType, reply_json, reply_problem

Result = TypeVar("Result")
log = Logger("gentianwharf.admin")


def reply_applied(request: Any, result: ApplyResult) -> bytes:
    """Answer with what became of a rule document."""
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


def to_the_end(operation: Coroutine[Any, Any, Result]) -> Deferred[Result]:
    """Run a change that goes on when its caller hangs up.

    The routes' library cancels what a closed connection waited for. A write to the
    store that is cancelled half-way would never be read back, and nobody would know
    whether it took effect.
    """
    inner = ensureDeferred(operation)
    outer: Deferred[Result] = Deferred()

    def pass_on(result: Any) -> None:
        if not outer.called:
            outer.callback(result)
        elif isinstance(result, Failure):
            log.error("after its caller hung up: {}", result.getErrorMessage())

    inner.addBoth(pass_on)
    return outer
