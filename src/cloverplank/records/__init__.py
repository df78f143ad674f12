"""Records that controllers store under the keys of the key-value store."""
