"""Tests with controller processes on loopback; key-value store, cloud and workers are simulated behind real sockets."""
