"""Shared parts of the review's second set of cases: sites, stand-ins and the runner."""
