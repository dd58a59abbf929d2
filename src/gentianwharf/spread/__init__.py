"""Passing rules and tables on between the entry hosts."""
