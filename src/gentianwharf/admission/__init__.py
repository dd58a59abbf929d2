"""The gate's decisions as the relay awaits them."""

from ._gate_admission import GateAdmission, rendezvous_server

__all__ = ["GateAdmission", "rendezvous_server"]
