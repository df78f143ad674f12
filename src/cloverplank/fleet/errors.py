"""Why a holder gives a worker no answer that renews its lease."""


class Deposed(Exception):
    """A worker has seen a higher token than ours."""


class Unanswered(Exception):
    """A report that gets no answer that renews a lease."""
