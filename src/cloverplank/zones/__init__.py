"""Zones as a whole: judged lost or returned from evidence, with an order of work for either."""
