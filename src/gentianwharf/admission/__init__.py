"""The gate's decisions as the relay awaits them."""

from ._gate_admission import GateAdmission, first_in_rendezvous

__all__ = ["GateAdmission", "first_in_rendezvous"]
