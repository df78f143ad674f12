"""The interface to users: submit, get and cancel jobs."""
