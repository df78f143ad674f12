"""Errors of scenarios."""


class NotRunError(Exception):
    """The scenario could not bring about the situation that it is about."""
