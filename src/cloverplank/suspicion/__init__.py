"""Controllers that may have failed: suspected by peers, judged by the leader, and their blocks handed over once."""
