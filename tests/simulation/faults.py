"""Message faults that a test enables and disables while the simulated world runs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class MessageFaults:
    """Faults of messages in flight, in addition to partitions and the constant noise.

    By default only some answered commands are repeated, which no test should notice.

    A fraction is the probability that a message of that type is affected. `slots` makes a misspelled fault in a test an
    error.
    """

    # Names of machines with a one-way partition: inbound (heartbeats arrive, responses and commands don't) or outbound.
    receives_nothing: set[str] = field(default_factory=set)
    sends_nothing: set[str] = field(default_factory=set)
    # Heartbeats of which a copy arrives late, by up to four worker leases.
    late_heartbeat_copy_fraction: float = 0.0
    # Heartbeats that arrive 5 to 15 s late at a random controller and get no response.
    delayed_heartbeat_fraction: float = 0.0
    # Direct commands that arrive 1 to 8 s late, or whose responses are lost.
    delayed_command_fraction: float = 0.0
    # Direct commands that were executed and answered, and arrive once more 0.3 to 30 s later.
    repeated_command_fraction: float = 0.1
    # The same for all other requests that were answered, except watches.
    repeated_request_fraction: float = 0.0
    # Transactions that get no response and are applied 2 to 12 s late.
    late_commit_fraction: float = 0.0
    # Upper bounds of the additional delay of each request to the key-value store, and of each message.
    max_store_delay_s: float = 0.0
    max_link_delay_s: float = 0.0
    # Whether half of the messages into a partition are held until it heals; the other half is lost.
    hold_partitioned_messages: bool = True
    held_messages: list[Callable[[], Awaitable[object]]] = field(default_factory=list)
