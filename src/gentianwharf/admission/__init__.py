"""Adapter that lets the relay await the gate's decisions."""

from ._gate_admission import GateAdmission, rendezvous_server

__all__ = ["GateAdmission", "rendezvous_server"]
