"""Decisions under load; nothing here knows of a network."""
