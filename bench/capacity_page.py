"""Write the tables of docs/CAPACITY.md out of the recorded figures.

``python -m bench.capacity_page`` replaces what stands between the page's markers; a
test fails when page and figures differ.
"""

import re
from pathlib import Path

from .capacity_model import (
    ASKS_PER_S,
    BUDGET_BYTES_PER_S,
    BUDGET_MEMORY_BYTES,
    BUDGET_PROCESSOR_MS,
    CHANGE_BYTES,
    CHANGES_A_DAY,
    CHUNK_SHARDS,
    DAY_S,
    DOMAINS,
    HOT_KEYS,
    KEYED_SERVICES,
    KILOBYTE,
    LIMIT_MS,
    MEGABYTE,
    MILLISECONDS,
    NODES,
    RACK_SERVERS,
    RESTARTS_A_DAY,
    SHARDS,
    STORE_READS_PER_S,
    STORE_WRITES_PER_S,
    Model,
)
from .capacity_record import read_results

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
MARKERS = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def number(value: float) -> str:
    """Return a number with three digits that count.

    >>> number(1234567.0), number(0.012345), number(12.0)
    ('1,230,000', '0.0123', '12')
    """
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    if abs(rounded) >= 100:
        return f"{rounded:,.0f}"
    return f"{rounded:.10f}".rstrip("0").rstrip(".")


def table(header: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)


def slopes(model: Model) -> str:
    """Return the table of slopes."""
    rows = []
    for one in model.slopes():
        line = one.line
        factor = line.extrapolation_factor(one.target)
        rows.append(
            [
                one.title,
                one.against,
                f"{number(line.intercept)} + {number(line.slope)} × n {one.unit}",
                f"{line.residual:.0%}",
                f"{line.size_count}, up to {number(line.max_size)}",
                f"{number(factor)}×" if factor > 1 else "within",
            ]
        )
    header = ["What", "n", "Line", "Residual", "Sizes", "Extrapolated"]
    return table(header, rows)


def sizes(model: Model) -> str:
    """Return the table of what the target means."""
    rows = [
        ["requests a node", f"{number(model.node_rate)}/s", "28 M/s over 12,000 nodes"],
        [
            "requests a core",
            f"{number(MILLISECONDS / model.request_ms)}/s",
            "one over the measured slope of a daemon's processor time",
        ],
        [
            "daemons a node",
            str(model.daemons),
            f"so that each is busy {model.daemon_load:.0%}, at most 60%",
        ],
        [
            "daemons a domain",
            number(model.members),
            f"{NODES:,} nodes in {DOMAINS} domains",
        ],
        ["servers", number(model.server_count), "today's 16 servers for 12 hosts kept"],
        [
            "shards",
            f"{KEYED_SERVICES} × {SHARDS:,}",
            "the most that settings allow; 11 billion keys need no more state",
        ],
        [
            "store values of the tables",
            f"{model.chunks} of {number(model.stored.at(CHUNK_SHARDS) / KILOBYTE)} kB",
            "a chunk each 4,096 shards",
        ],
    ]
    return table(["Size", "Value", "Grounds"], rows)


def _against(value: float, budget: float) -> str:
    share = value / budget
    return f"{number(share)}× over" if share > 1 else f"within ({share:.0%})"


def roles(model: Model) -> str:
    """Return the table of roles: messages, processor time, bytes at the target."""
    sent = model.sent.at(DOMAINS) * model.daemons
    asks = model.witness_asks_per_s()
    witness_ms = asks * model.witness.at(model.versions) / MILLISECONDS
    witness_bytes = asks * model.ask.at(model.versions)
    shares = model.share_asks_per_s()
    share_ms = shares * model.share.at(model.versions) / MILLISECONDS
    share_bytes = shares * model.received.at(DOMAINS) / ASKS_PER_S
    asker_bytes = model.asker_sent.at(DOMAINS)
    asker_ms = model.asker_ticks.at(DOMAINS)
    holder_sends = model.holder_messages_per_s()
    holder_hears = model.holder_reports_per_s()
    ticks = model.ticks_ms() * model.daemons
    idle = model.idle.at(1) * model.daemons
    messages = model.messages.at(DOMAINS) * model.daemons
    rules_bytes = CHANGES_A_DAY / DAY_S * CHANGE_BYTES
    spread_bytes = model.spread_idle.intercept * model.daemons + rules_bytes
    rebalance_ms = model.rebalancing.at(SHARDS) / MILLISECONDS
    serving = model.node_rate * model.request_ms
    rows = [
        [
            "serving callers",
            "`relay`, `rules`, `load`",
            f"{number(model.node_rate)} requests/s",
            f"{number(serving)} ms/s",
            "no control budget",
        ],
        [
            "daemons at rest",
            "ticks, links, store and host list calls",
            "measured as a whole, one domain",
            f"{number(idle)} ms/s",
            _against(idle, BUDGET_PROCESSOR_MS),
        ],
        [
            "rights, grants (every daemon)",
            "`ownership` ticks",
            f"{number(messages)} messages/s",
            f"{number(ticks)} ms/s",
            _against(ticks, BUDGET_PROCESSOR_MS),
        ],
        [
            "rights: bytes sent",
            "one question for shares a round",
            f"{number(sent / KILOBYTE)} kB/s",
            "",
            _against(sent, BUDGET_BYTES_PER_S),
        ],
        [
            "asker (2 daemons a domain)",
            "questions to its witnesses and to each other domain",
            f"{number(model.asker_messages.at(DOMAINS))} messages/s,"
            f" {number(asker_bytes / KILOBYTE)} kB/s",
            f"{number(asker_ms)} ms/s",
            _against(asker_ms, BUDGET_PROCESSOR_MS),
        ],
        [
            "witness (5 a domain)",
            "`ownership` witnessing",
            f"{number(asks)} questions/s, {number(witness_bytes / KILOBYTE)} kB/s",
            f"{number(witness_ms)} ms/s",
            _against(witness_ms, BUDGET_PROCESSOR_MS),
        ],
        [
            "inner host of the tree of shares",
            "answers to 16 hosts",
            f"{number(shares)} questions/s, {number(share_bytes / KILOBYTE)} kB/s sent",
            f"{number(share_ms)} ms/s",
            _against(share_ms, BUDGET_PROCESSOR_MS),
        ],
        [
            "control holder",
            "signs of life to the first hosts of each domain; reports of load",
            f"{number(holder_sends)} sent, {number(holder_hears)} heard a second",
            "not measured",
            "by formula",
        ],
        [
            "watching and passing on",
            "`spread`: digests, deltas down trees of 8 children",
            f"{number(spread_bytes / KILOBYTE)} kB/s at a tree's inner node",
            "not measured",
            _against(spread_bytes, BUDGET_BYTES_PER_S),
        ],
        [
            "floating control work",
            "`placement` on the control holder",
            "one look over a service's shards",
            f"{number(rebalance_ms)} ms a look",
            "stalls the loop for so long",
        ],
    ]
    header = ["Role", "Mechanism", "Messages a node", "Processor", "Budget"]
    return table(header, rows)


def memory(model: Model) -> str:
    """Return the table of a daemon's memory."""
    parts = model.memory_bytes()
    rows = [[name, f"{number(value / MEGABYTE)} MB"] for name, value in parts.items()]
    total = sum(parts.values())
    rows.append(["a daemon", f"{number(total / MEGABYTE)} MB"])
    node = total * model.daemons
    rows.append(
        [
            f"a node of {model.daemons} daemons",
            f"{number(node / MEGABYTE)} MB, {_against(node, BUDGET_MEMORY_BYTES)}",
        ]
    )
    return table(["Part", "Memory at the target"], rows)


def store(model: Model) -> str:
    """Return the table of store calls."""
    figures = model.figures
    daemons = NODES * model.daemons
    each = max(float(one["value"]) for one in figures["control_store_calls"])
    idle_reads = each * daemons
    leases = max(float(one["value"]) for one in figures["store_idle_writes"])
    lease_writes = leases * KEYED_SERVICES
    watches = DOMAINS * 4
    restarts = RESTARTS_A_DAY * model.daemons * 2 / DAY_S
    rolling_s = daemons * 2 / (STORE_READS_PER_S / 2)
    writes_a_chunk = model.loss_writes.at(0)
    rack_writes = writes_a_chunk * model.chunks
    rack_shards = KEYED_SERVICES * SHARDS * RACK_SERVERS / model.server_count
    rack_s = rack_writes / STORE_WRITES_PER_S
    changes = CHANGES_A_DAY / DAY_S
    rows = [
        [
            "idle: reads by hosts that are no witnesses",
            f"{number(idle_reads)} reads/s",
            _against(idle_reads, STORE_READS_PER_S),
        ],
        [
            "idle: waiting watches (4 a domain)",
            f"{watches} calls waiting",
            "grow with domains only",
        ],
        [
            "idle: control leases",
            f"{number(lease_writes)} writes/s",
            _against(lease_writes, STORE_WRITES_PER_S),
        ],
        [
            "rule changes, two writes each",
            f"{number(2 * changes)} writes/s",
            _against(2 * changes, STORE_WRITES_PER_S),
        ],
        [
            "3,000 restarts a day",
            f"{number(restarts)} reads/s of {model.chunks} values",
            _against(restarts, STORE_READS_PER_S),
        ],
        [
            "rolling replacement of all",
            f"{number(daemons * 2)} reads",
            f"{number(rolling_s)} s at half the store's reads",
        ],
        [
            f"a rack of {RACK_SERVERS} servers lost",
            f"{number(rack_shards)} shards in up to {model.chunks} chunks,"
            f" {number(rack_writes)} writes",
            f"{number(rack_s)} s at {STORE_WRITES_PER_S} writes/s, and the waits below",
        ],
        [
            "the hottest 1,200 keys moved",
            f"{HOT_KEYS:,} entries in up to {model.chunks} chunks,"
            f" {number(2 * model.chunks)} writes",
            f"{number(2 * model.chunks / STORE_WRITES_PER_S)} s of writes",
        ],
    ]
    return table(["What", "Calls", "Against the store"], rows)


def latency(model: Model) -> str:
    """Return the table of waits: estimated and measured."""
    p99 = {one["size"]["requests_per_s"]: one for one in model.figures["relay_p99"]}
    direct = {one["size"]["requests_per_s"]: one for one in model.figures["direct_p99"]}
    p50 = {one["size"]["requests_per_s"]: one for one in model.figures["relay_p50"]}
    base_ms = float(p50[min(p50)]["value"])
    rows = []
    for rate in sorted(p99):
        load = rate * model.request_ms / MILLISECONDS
        rows.append(
            [
                f"{rate:g}/s",
                f"{load:.0%}",
                f"{number(base_ms + model.wait_p99_ms(load))} ms",
                f"{number(float(p99[rate]['value']))} ms",
                f"{number(float(direct[rate]['value']))} ms",
            ]
        )
    target_ms = base_ms + model.wait_p99_ms(model.daemon_load)
    rows.append(
        [
            f"{number(model.node_rate / model.daemons)}/s (target)",
            f"{model.daemon_load:.0%}",
            f"{number(target_ms)} ms, {_against(target_ms, LIMIT_MS)} of {LIMIT_MS} ms",
            "the row above of about this rate",
            "",
        ]
    )
    header = [
        "Rate a daemon",
        "Busy",
        "Estimated p99",
        "Measured p99",
        "Without router",
    ]
    return table(header, rows)


def tables() -> dict[str, str]:
    """Return every table of the page by name."""
    model = Model(read_results())
    made = (slopes, sizes, roles, memory, store, latency)
    return {function.__name__: function(model) for function in made}


def rendered(text: str) -> str:
    """Return the page's text with its tables made anew."""
    made = tables()
    return MARKERS.sub(lambda found: found[1] + made[found[2]] + found[3], text)


def main() -> None:
    """Write the page."""
    PAGE.write_text(rendered(PAGE.read_text(encoding="utf-8")), encoding="utf-8")


if __name__ == "__main__":
    main()
