"""Adapter that lets the relay await the gate's decisions."""

from ._gate_admission import GateAdmission, rendezvous_server
from ._slot_admission import SlotAdmission, SlotObserver, SlotRecord

__all__ = [
    "GateAdmission",
    "SlotAdmission",
    "SlotObserver",
    "SlotRecord",
    "rendezvous_server",
]
