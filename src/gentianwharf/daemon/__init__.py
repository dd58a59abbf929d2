"""The daemon ``gentianwharfd``."""
