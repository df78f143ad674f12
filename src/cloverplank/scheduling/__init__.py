"""Scheduling decisions without I/O: admission, queue order, quotas, free capacity, bin packing and headroom."""
