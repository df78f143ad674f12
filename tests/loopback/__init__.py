"""Real processes of this program on loopback, beside stand-ins of state service, cloud and workers on real sockets."""
