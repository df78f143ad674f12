"""A simulated world: virtual time, stand-ins for external services and machines, and the rules as invariants."""
