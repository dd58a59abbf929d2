"""Which backend server each shard should stand on."""
