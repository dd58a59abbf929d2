"""The operator's tool ``gentianwharf``."""
