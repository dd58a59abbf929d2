"""Measurements; ``python -m bench`` prints one JSON line a figure."""
