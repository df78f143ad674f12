"""cloverplank: a cluster scheduler with machine failover."""

__version__ = "0.1.0"
