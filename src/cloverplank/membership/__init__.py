"""Membership of controllers: peer gossip, failure detection and verdicts."""
