"""Tests of gentianwharf."""
