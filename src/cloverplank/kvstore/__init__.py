"""Access to the consensus-backed key-value store: client, transaction queue, watch cache and controller lease."""
