"""A host's settings file in the platform's format, for trials on one machine."""

CALLERS_PORT = 8381
READINESS_PORT = 8388
INTERNAL_PORT = 7200


RETRY_BUDGET_RATIO = 0.2
EXTRA_RETRIES = 64
RETRY_WINDOW_S = 10


def settings_text(
    *,
    name: str,
    ip: str,
    domain: str,
    store: str,
    extra_retries: int = EXTRA_RETRIES,
) -> str:
    """Return the settings of a host that has its own IP address."""
    return f"""\
node-name = "{name}"
role = "entry"
ip = "{ip}"
zone = "{domain}"
internal-port-range = [{INTERNAL_PORT}, {INTERNAL_PORT + 15}]
bootstrap = false
heartbeat-interval = "800ms"
bounds = ["drain-timeout=2000ms", "grace-period=6s", "config-apply=2000ms",
  "retry-budget-ratio={RETRY_BUDGET_RATIO}", "budget-window={RETRY_WINDOW_S}s",
  "budget-extra-retries={extra_retries}",
  "max-hold=10000ms"]
[zones]
{domain} = "here"
[listen]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READINESS_PORT}"
[platform]
address = "{store}"
writes-per-s = 400
reads-per-s = 2000
min-ttl = "1000ms"
"""
