"""Job records and their changes, storage layouts, DAG dependencies, and the cache of open jobs."""
