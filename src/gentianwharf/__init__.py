"""A router for servers that each own their keys alone."""

__all__ = ["__version__"]

__version__ = "0.1.0"
