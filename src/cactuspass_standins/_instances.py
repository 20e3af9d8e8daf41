"""Stand-in of the platform's instance list, which is served with a lag."""

import math
import time
from dataclasses import dataclass, replace

from cactuspass.models import (
    DataCentreId,
    FabricDomainId,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    KindId,
)
from cactuspass_standins._stand_in import Json, Route, StandIn, StandInHandler


@dataclass(frozen=True, slots=True)
class ListVersion:
    """Contents of the list from the time ``at`` on."""

    at: float
    records_by_id: dict[InstanceId, InstanceRecord]


class InstanceList(StandIn):
    """Serves the instance list as it was some time ago.

    :param lag: age of the served list, in seconds; entries added before the start have no lag.
    """

    def __init__(self, name: str = "instances", lag: float = 0.0) -> None:
        super().__init__(name)
        self.lag = lag
        self.reads = 0
        self._versions = [ListVersion(-math.inf, {})]
        self.controls_by_name |= {"set_lag": self.set_lag, "instances": self.apply_changes}

    def routes(self) -> list[Route]:
        """Return the path patterns and their handlers."""
        return [("/instances", InstancesHandler)]

    def counts(self) -> Json:
        """Return all counters by name."""
        return {"reads": self.reads}

    def set_lag(self, lag: float) -> None:
        """Set the age of the served list, in seconds."""
        self.lag = lag

    def add(self, record: InstanceRecord) -> None:
        """Add an instance to the list, or replace its entry."""
        self._store_version(self._versions[-1].records_by_id | {record.instance_id: record})

    def remove(self, instance_id: str) -> None:
        """Remove an instance from the list."""
        latest = self._versions[-1].records_by_id
        self._store_version({key: record for key, record in latest.items() if key != instance_id})

    def mark(self, instance_id: str, state: InstanceState) -> None:
        """Set the state of a listed instance.

        :raises KeyError: when the instance is not listed.
        """
        record = self._versions[-1].records_by_id[InstanceId(instance_id)]
        self.add(replace(record, state=state))

    def apply_changes(
        self,
        add: list[Json] | None = None,
        remove: list[str] | None = None,
        leaving: list[str] | None = None,
        live: list[str] | None = None,
    ) -> None:
        """Apply several changes; this is the ``instances`` control.

        :param add: instances to add, as JSON objects.
        :param remove: ids of instances to remove.
        :param leaving: ids of instances to mark as leaving.
        :param live: ids of instances to mark as live.
        """
        for fields in add or []:
            self.add(record_from_json(fields))
        for instance_id in remove or []:
            self.remove(instance_id)
        for instance_id in leaving or []:
            self.mark(instance_id, InstanceState.LEAVING)
        for instance_id in live or []:
            self.mark(instance_id, InstanceState.LIVE)

    def records(self) -> list[InstanceRecord]:
        """Return the list as it is served now, with its lag."""
        visible_at = time.monotonic() - self.lag
        version = next(item for item in reversed(self._versions) if item.at <= visible_at)
        return list(version.records_by_id.values())

    def _store_version(self, records_by_id: dict[InstanceId, InstanceRecord]) -> None:
        if not self.is_listening:
            self._versions = [ListVersion(-math.inf, records_by_id)]
            return
        self._versions.append(ListVersion(time.monotonic(), records_by_id))


class InstancesHandler(StandInHandler):
    """Handles ``GET /instances``."""

    stand_in: InstanceList

    def get(self) -> None:
        """Respond with the list."""
        self.stand_in.reads += 1
        self.write({"instances": [record_to_json(item) for item in self.stand_in.records()]})


def record_to_json(record: InstanceRecord) -> Json:
    """Return an entry of the list as a JSON object."""
    return {
        "instance_id": record.instance_id,
        "role": record.role.value,
        "address": record.address,
        "data_centre": record.data_centre,
        "fabric_domain": record.fabric_domain,
        "kind": record.kind,
        "accelerators": record.accelerators,
        "state": record.state.value,
    }


def record_from_json(fields: Json) -> InstanceRecord:
    """Parse an entry of the list; missing optional fields get their defaults.

    :raises KeyError: when the id, role, address or data centre is missing.
    """
    return InstanceRecord(
        instance_id=InstanceId(fields["instance_id"]),
        role=InstanceRole(fields["role"]),
        address=fields["address"],
        data_centre=DataCentreId(fields["data_centre"]),
        fabric_domain=FabricDomainId(fields.get("fabric_domain", "")),
        kind=KindId(fields.get("kind", "")),
        accelerators=int(fields.get("accelerators", 0)),
        state=InstanceState(fields.get("state", "live")),
    )
