"""A fleet of entry hosts as processes, and what all of them together send to servers.

``python -m bench.fleet`` starts as many hosts and servers as a large deployment has, on
one machine and at the deployment's own rates, and disrupts them. Requests are counted
where callers send them and where servers receive them, and compared with what hosts
state that they sent.
"""
