"""Polling of the cloud's machine list."""

from __future__ import annotations

import logging

from cloverplank.autoscaling.cloud import CloudClient, CloudUnavailableError
from cloverplank.autoscaling.machine_pools import pool_of
from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.machines import ProvisioningRecord

log = logging.getLogger(__name__)


class MachineListReader:
    """Registers the machines that the cloud lists while this controller leads.

    `list_lag_s`: by how many seconds the machine list may lag.
    """

    def __init__(
        self,
        *,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        cloud: CloudClient,
        registry: MachineRegistry,
        list_lag_s: float,
    ) -> None:
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._cloud = cloud
        self._registry = registry
        self._list_lag_s = list_lag_s

    async def poll(self) -> None:
        """Read the machine list once and register its machines, including those that no provisioning record names."""
        if self._controller_lease.leadership_revision() is None:
            return
        for provisioning, _ in self._watch_cache.list_records(keys.PROVISIONING, ProvisioningRecord).values():
            pool = pool_of(provisioning)
            for machine in provisioning.machines:
                self._registry.add_requested(machine, pool)
        try:
            machines = await self._cloud.machines()
        except CloudUnavailableError as err:
            log.debug("machine list can't be read: %s", err)
            return
        self._registry.apply_list(machines, self._list_lag_s)
