"""The load tool ``gentianwharf-load``."""
