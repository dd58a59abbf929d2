"""Who owns which shard, and how ownership moves."""
