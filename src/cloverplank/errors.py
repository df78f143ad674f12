"""The base class of all errors raised by this package."""


class CloverplankError(Exception):
    """Base class of all errors of this package; the message describes the failure in one line."""
