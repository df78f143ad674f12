"""Machines and the cloud: registry, cloud client, machine pools and draining machines."""
