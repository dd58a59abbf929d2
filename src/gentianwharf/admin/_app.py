"""The admin port's routes.

One guard in front of all of them checks the token, so that a route can't forget it.
"""

from collections.abc import Callable
from typing import Any, final

from klein import Klein
from logbook import Logger
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import Request, Site
from werkzeug.exceptions import HTTPException

from gentianwharf.errors import GentianwharfError, InputError
from gentianwharf.rules import RuleDocument, explain

from ._access import TokenAuthenticator
from ._changes import reply_applied, to_the_end
from ._guard import GuardedResource
from ._protocols import (
    BurnView,
    DecisionsView,
    DomainsControl,
    FleetRules,
    HostsView,
    KeyOwner,
    KeysControl,
    RulesControl,
    ServersControl,
    StateView,
)
from ._replies import ProblemType, reply_error, reply_json, reply_problem
from ._requests import (
    ExplainBody,
    MoveBody,
    PinBody,
    argument,
    change_id_of,
    flag_argument,
    integer_argument,
    operator_of,
    optional_integer,
    read_body,
)
from ._site import admin_site

MOST_DECISIONS = 1_000

MOST_WAIT_S = 60
"""Longest wait for a revision. Longer ones are asked for again: an answer that takes
minutes looks like a daemon gone silent."""

log = Logger("gentianwharf.admin")


@final
class AdminApp:
    """Health, state and the operator's commands, over what the daemon's parts give.

    ``site()`` is what the daemon listens with. ``metrics`` returns Prometheus text.
    ``token`` None lets everybody in, which the settings allow on loopback alone.
    """

    app = Klein()

    def __init__(
        self,
        *,
        state: StateView,
        rules: RulesControl,
        fleet_rules: FleetRules,
        keys: KeysControl,
        servers: ServersControl,
        hosts: HostsView,
        domains: DomainsControl,
        burn: BurnView,
        decisions: DecisionsView,
        metrics: Callable[[], bytes],
        token: str | None,
    ) -> None:
        self._state = state
        self._rules = rules
        self._fleet_rules = fleet_rules
        self._keys = keys
        self._servers = servers
        self._hosts = hosts
        self._domains = domains
        self._burn = burn
        self._decisions = decisions
        self._metrics = metrics
        self._authenticator = TokenAuthenticator(token=token)

    def resource(self) -> Resource:
        """Return the guarded routes."""
        return GuardedResource(
            inner=self.app.resource(), authenticator=self._authenticator
        )

    def site(self) -> Site:
        """Return the site to listen with; it bounds the size of bodies."""
        return admin_site(self.resource())

    @app.route("/livez", methods=["GET"])
    def livez(self, request: Request) -> bytes:
        """Answer 200 unless only a restart helps."""
        if self._state.is_live():
            return reply_json(request, {"live": True})
        return reply_json(request, {"live": False}, status=503)

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: Request) -> bytes:
        """Answer 200 when the balancer may send requests here."""
        reasons = list(self._state.unready_reasons())
        answer = {"ready": not reasons, "reasons": reasons}
        return reply_json(request, answer, status=503 if reasons else 200)

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Request) -> bytes:
        """Answer with Prometheus text."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        return self._metrics()

    @app.route("/state", methods=["GET"])
    def state(self, request: Request) -> bytes:
        """Answer with this daemon's state."""
        return reply_json(request, self._state.state())

    @app.route("/rules", methods=["GET"])
    async def rules(self, request: Request) -> bytes:
        """Answer with the document in the store, null when there is none yet."""
        return reply_json(request, await self._rules.read())

    @app.route("/rules/in-force", methods=["GET"])
    def rules_in_force(self, request: Request) -> bytes:
        """Answer with what this host matches with; works without the store."""
        rules = self._rules.in_force()
        if rules is None:
            return reply_problem(
                request, ProblemType.NOT_FOUND, "no rules are in force on this host yet"
            )
        answer = {"revision": rules.revision, "document": rules.document}
        return reply_json(request, answer)

    @app.route("/rules/hosts", methods=["GET"])
    async def rules_hosts(self, request: Request) -> bytes:
        """Answer with what every listed host matches with.

        With ``revision`` in the query it waits until that is in force everywhere, up
        to ``wait_s``.
        """
        revision = optional_integer(request, "revision")
        wait_s = min(integer_argument(request, "wait_s", default=0), MOST_WAIT_S)
        found = await self._fleet_rules.rollout_status(
            revision=revision, wait_s=float(wait_s)
        )
        return reply_json(request, found)

    @app.route("/rules/history", methods=["GET"])
    async def rules_history(self, request: Request) -> bytes:
        """Answer with the documents still kept, newest first."""
        return reply_json(request, await self._rules.history())

    @app.route("/rules", methods=["PUT"])
    async def put_rules(self, request: Request) -> bytes:
        """Put the body's document in force if nobody else was faster."""
        author = operator_of(request)
        revision = integer_argument(request, "edited_from_revision", default=None)
        document = read_body(request, RuleDocument)
        result = await to_the_end(
            self._rules.apply(
                document,
                edited_from_revision=revision,
                author=author,
                change_id=change_id_of(request),
            )
        )
        return reply_applied(request, result)

    @app.route("/explain", methods=["POST"])
    def explain(self, request: Request) -> bytes:
        """Say which rule decides a request, and who owns its key."""
        body = read_body(request, ExplainBody)
        rules = self._rules.in_force()
        if rules is None:
            return reply_problem(
                request, ProblemType.NOT_FOUND, "no rules are in force on this host yet"
            )
        explanation = explain(rules, body.facts())
        owner: KeyOwner | None = None
        if explanation.service and explanation.key and explanation.shard is not None:
            owner = self._keys.owner(explanation.service, explanation.key)
        return reply_json(request, {"explanation": explanation, "owner": owner})

    @app.route("/keys/<service>/owner", methods=["GET"])
    def key_owner(self, request: Request, service: str) -> bytes:
        """Say who owns the key in the query field ``key``."""
        key = argument(request, "key")
        if not key:
            raise InputError(
                "key: expected the key in the query, got none",
                step="read query",
                peer="operator",
            )
        return reply_json(request, self._keys.owner(service, key))

    @app.route("/keys/<service>/move", methods=["POST"])
    async def move_key(self, request: Request, service: str) -> bytes:
        """Begin to move a key's shard."""
        author = operator_of(request)
        body = read_body(request, MoveBody)
        owner = await to_the_end(
            self._keys.move(service, body.key, body.server, author)
        )
        return reply_json(request, owner, status=202)

    @app.route("/keys/<service>/pin", methods=["POST"])
    async def pin_key(self, request: Request, service: str) -> bytes:
        """Give a key an entry of its own, or take it away."""
        author = operator_of(request)
        body = read_body(request, PinBody)
        owner = await to_the_end(self._keys.pin(service, body.key, body.server, author))
        return reply_json(request, owner, status=202)

    @app.route("/servers", methods=["GET"])
    def servers(self, request: Request) -> bytes:
        """Answer with every backend server."""
        return reply_json(request, list(self._servers.servers()))

    @app.route("/servers/<server>/drain", methods=["POST"])
    async def drain_server(self, request: Request, server: str) -> bytes:
        """Give a server no new work and move its shards away."""
        author = operator_of(request)
        status = await to_the_end(self._servers.drain(server, author))
        return reply_json(request, status, status=202)

    @app.route("/hosts", methods=["GET"])
    async def hosts(self, request: Request) -> bytes:
        """Answer with the platform's host list."""
        return reply_json(request, list(await self._hosts.hosts()))

    @app.route("/domains/<domain>/declare-lost", methods=["GET"])
    def domain_loss(self, request: Request, domain: str) -> bytes:
        """Say what declaring a failure domain lost would risk."""
        return reply_json(request, self._domains.preview_loss(domain))

    @app.route("/domains/<domain>/declare-lost", methods=["POST"])
    async def declare_lost(self, request: Request, domain: str) -> bytes:
        """Let other domains take over a failure domain's keys."""
        author = operator_of(request)
        loss = await to_the_end(self._domains.declare_lost(domain, author))
        return reply_json(request, loss, status=202)

    @app.route("/burn", methods=["GET"])
    async def burn(self, request: Request) -> bytes:
        """Answer with the service-level burn over all hosts, or ``host`` alone.

        The page is made by the tool: its plots take a third of a second, in which
        this daemon would answer nobody and its rights would run out.
        """
        return reply_json(
            request, await self._burn.burn(host=argument(request, "host"))
        )

    @app.route("/decisions", methods=["GET"])
    async def decisions(self, request: Request) -> bytes:
        """Answer with this host's kept decisions, or any host's on ``request_id``."""
        most = min(integer_argument(request, "most", default=100), MOST_DECISIONS)
        refused_only = flag_argument(request, "refused_only")
        request_id = argument(request, "request_id")
        if request_id is not None:
            return reply_json(request, await self._decisions.find(request_id))
        kept = self._decisions.latest(refused_only=refused_only, limit=most)
        return reply_json(request, kept)

    @app.handle_errors(GentianwharfError)
    def on_known_error(self, request: Any, failure: Failure) -> bytes:
        """Answer with the error's message, step and peer."""
        error = failure.value
        assert isinstance(error, GentianwharfError)
        return reply_error(request, error)

    @app.handle_errors(HTTPException)
    def on_no_route(self, request: Any, failure: Failure) -> bytes:
        """Answer for an unknown path or a method that the path does not take."""
        return reply_problem(
            request,
            ProblemType.NOT_FOUND,
            f"nothing answers {request.method.decode('latin-1')} on this path;"
            " docs/OPERATIONS.md lists what does",
        )

    @app.handle_errors(Exception)
    def on_fault(self, request: Any, failure: Failure) -> bytes:
        """Log a fault of ours; the answer keeps its text back."""
        log.error("admin request failed: {}", failure.getTraceback())
        return reply_problem(
            request,
            ProblemType.INTERNAL,
            "a fault of the daemon; its log has the trace",
        )
