"""The admin port's routes.

One resource in front of all routes checks the token, so that no route can omit it.
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
from ._changes import reply_apply_result, run_to_completion
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
    optional_query_integer,
    query_argument,
    query_flag,
    query_integer,
    read_body,
    read_change_id,
    read_operator,
)
from ._site import admin_site

MAX_DECISIONS = 1_000

MAX_WAIT_S = 60
"""Longest wait for a revision. A client that wants to wait longer asks again, since a
response that takes minutes can't be told from a daemon that has stopped answering."""

log = Logger("gentianwharf.admin")


@final
class AdminApp:
    """Health, state and operators' commands, implemented by the daemon's parts.

    The daemon listens with ``site()``. ``metrics`` returns Prometheus text. With
    ``token`` None no token is needed, which the settings allow on loopback only.
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
        """Return the site to listen with; it limits the size of request bodies."""
        return admin_site(self.resource())

    @app.route("/livez", methods=["GET"])
    def livez(self, request: Request) -> bytes:
        """Answer 200, or 503 when only a restart can make the daemon work again."""
        if self._state.is_live():
            return reply_json(request, {"live": True})
        return reply_json(request, {"live": False}, status=503)

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: Request) -> bytes:
        """Answer 200 when the balancer may send requests here, else 503."""
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
        """Answer with the rule document in the store, null when there is none yet."""
        return reply_json(request, await self._rules.read())

    @app.route("/rules/in-force", methods=["GET"])
    def rules_in_force(self, request: Request) -> bytes:
        """Answer with the rules that this host matches with; needs no store."""
        rules = self._rules.in_force()
        if rules is None:
            return reply_problem(
                request, ProblemType.NOT_FOUND, "no rules are in force on this host yet"
            )
        answer = {"revision": rules.revision, "document": rules.document}
        return reply_json(request, answer)

    @app.route("/rules/hosts", methods=["GET"])
    async def rules_hosts(self, request: Request) -> bytes:
        """Answer with the rules in force on every listed host.

        With ``revision`` in the query it waits up to ``wait_s`` seconds until that
        revision is in force on all of them.
        """
        revision = optional_query_integer(request, "revision")
        wait_s = min(query_integer(request, "wait_s", default=0), MAX_WAIT_S)
        status = await self._fleet_rules.rollout_status(
            revision=revision, wait_s=float(wait_s)
        )
        return reply_json(request, status)

    @app.route("/rules/history", methods=["GET"])
    async def rules_history(self, request: Request) -> bytes:
        """Answer with the retained versions of the document, newest first."""
        return reply_json(request, await self._rules.history())

    @app.route("/rules", methods=["PUT"])
    async def put_rules(self, request: Request) -> bytes:
        """Put the body's document in force unless the rules have since changed."""
        author = read_operator(request)
        revision = query_integer(request, "edited_from_revision", default=None)
        document = read_body(request, RuleDocument)
        result = await run_to_completion(
            self._rules.apply(
                document,
                edited_from_revision=revision,
                author=author,
                change_id=read_change_id(request),
            )
        )
        return reply_apply_result(request, result)

    @app.route("/explain", methods=["POST"])
    def explain(self, request: Request) -> bytes:
        """Answer with the rule that decides a request, and its key's owner."""
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
        """Answer with the owner of the key in the query field ``key``."""
        key = query_argument(request, "key")
        if not key:
            raise InputError(
                "key: expected the key in the query, got none",
                step="read query",
                peer="operator",
            )
        return reply_json(request, self._keys.owner(service, key))

    @app.route("/keys/<service>/move", methods=["POST"])
    async def move_key(self, request: Request, service: str) -> bytes:
        """Start the move of a key's shard to a server."""
        author = read_operator(request)
        body = read_body(request, MoveBody)
        owner = await run_to_completion(
            self._keys.move(service, body.key, body.server, author)
        )
        return reply_json(request, owner, status=202)

    @app.route("/keys/<service>/pin", methods=["POST"])
    async def pin_key(self, request: Request, service: str) -> bytes:
        """Pin a key to a server, or remove its pin."""
        author = read_operator(request)
        body = read_body(request, PinBody)
        owner = await run_to_completion(
            self._keys.pin(service, body.key, body.server, author)
        )
        return reply_json(request, owner, status=202)

    @app.route("/servers", methods=["GET"])
    def servers(self, request: Request) -> bytes:
        """Answer with every backend server."""
        return reply_json(request, list(self._servers.servers()))

    @app.route("/servers/<server>/drain", methods=["POST"])
    async def drain_server(self, request: Request, server: str) -> bytes:
        """Stop sending new requests to a server and move its shards to others."""
        author = read_operator(request)
        status = await run_to_completion(self._servers.drain(server, author))
        return reply_json(request, status, status=202)

    @app.route("/hosts", methods=["GET"])
    async def hosts(self, request: Request) -> bytes:
        """Answer with the hosts that the platform lists."""
        return reply_json(request, list(await self._hosts.hosts()))

    @app.route("/domains/<domain>/declare-lost", methods=["GET"])
    def domain_loss(self, request: Request, domain: str) -> bytes:
        """Answer with the effects and risks of declaring a failure domain lost."""
        return reply_json(request, self._domains.preview_loss(domain))

    @app.route("/domains/<domain>/declare-lost", methods=["POST"])
    async def declare_lost(self, request: Request, domain: str) -> bytes:
        """Let other domains take over a failure domain's keys."""
        author = read_operator(request)
        loss = await run_to_completion(self._domains.declare_lost(domain, author))
        return reply_json(request, loss, status=202)

    @app.route("/burn", methods=["GET"])
    async def burn(self, request: Request) -> bytes:
        """Answer with the service-level burn over all hosts, or only ``host``.

        The command-line tool renders the HTML page: its plots take a third of a second,
        during which this daemon would answer no request and its rights would expire.
        """
        return reply_json(
            request, await self._burn.burn(host=query_argument(request, "host"))
        )

    @app.route("/decisions", methods=["GET"])
    async def decisions(self, request: Request) -> bytes:
        """Answer with this host's decisions, or any host's on ``request_id``."""
        limit = min(query_integer(request, "most", default=100), MAX_DECISIONS)
        refused_only = query_flag(request, "refused_only")
        request_id = query_argument(request, "request_id")
        if request_id is not None:
            return reply_json(request, await self._decisions.find(request_id))
        retained = self._decisions.latest(refused_only=refused_only, limit=limit)
        return reply_json(request, retained)

    @app.handle_errors(GentianwharfError)
    def on_known_error(self, request: Any, failure: Failure) -> bytes:
        """Answer with the error's message, step and peer."""
        error = failure.value
        assert isinstance(error, GentianwharfError)
        return reply_error(request, error)

    @app.handle_errors(HTTPException)
    def on_no_route(self, request: Any, failure: Failure) -> bytes:
        """Answer for an unknown path, or a method that the path does not support."""
        return reply_problem(
            request,
            ProblemType.NOT_FOUND,
            f"nothing answers {request.method.decode('latin-1')} on this path;"
            " docs/OPERATIONS.md lists what does",
        )

    @app.handle_errors(Exception)
    def on_fault(self, request: Any, failure: Failure) -> bytes:
        """Log an internal error; the answer does not reveal its text."""
        log.error("admin request failed: {}", failure.getTraceback())
        return reply_problem(
            request,
            ProblemType.INTERNAL,
            "a fault of the daemon; its log has the trace",
        )
