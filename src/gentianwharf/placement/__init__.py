"""Which server each shard should stand on."""

from ._place import Candidate, SiteOfShard, place, rendezvous_rank

__all__ = ["Candidate", "SiteOfShard", "place", "rendezvous_rank"]
