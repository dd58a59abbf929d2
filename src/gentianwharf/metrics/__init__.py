"""Counting and timing of what callers receive."""
