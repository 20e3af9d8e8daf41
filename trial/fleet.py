"""A fleet on loopback: all stand-ins in one process, each entry daemon in its own process."""

import json
import random
import socket
import tempfile
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cactuspass._operator_client import OperatorClient
from cactuspass.exceptions import CactuspassError
from trial.processes import START_TIMEOUT_SECONDS, Child, TrialError, wait_until

PEER_TOKEN = "peer-secret"
OPERATOR_TOKEN = "operator-secret"
API_KEY = "library-key"
MODEL = "assistant"
KIND = "assistant-llm"
SERVICE = "lending"
SERVICE_KIND = "lending-app"
HTTP_TIMEOUT_SECONDS = 30.0
# Below the range of ephemeral ports, so that no outgoing connection takes a chosen port.
DESCRIBED_LOG_LINES = 30
LISTENER_PORTS = (10_000, 32_000)
LOCAL_HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size and settings of a fleet.

    :param entries: entries in each data centre.
    :param engines: engine instances in each data centre, all in one fabric domain.
    :param services: instances of the plain service in each data centre.
    :param engine_settings: additional settings of each engine.
    :param has_relays: whether every connection of an entry runs through a relay, so that links
        can be cut.
    :param listed_engines: addresses by name of engines outside the fleet, which the instance
        list shows in the first data centre.
    :param full_requests: concurrency limit of a warm engine; with a value other than 8, engines
        start at this limit and have no warm-up.
    :param service_settings: additional settings of each instance of the plain service.
    :param limits: additional settings of the entries' ``limits`` section.
    :param platform_timeout: seconds after which an entry gives up a call of the platform.
    :param unfenced: data centres whose engines ignore fencing numbers.
    """

    data_centres: Sequence[str] = ("fukuoka", "kumamoto", "kagoshima")
    entries: int = 2
    engines: int = 5
    services: int = 1
    engine_settings: dict[str, Any] = field(default_factory=dict)
    checks_fence: bool = True
    drain_seconds: float = 30.0
    has_relays: bool = False
    listed_engines: Mapping[str, str] = field(default_factory=dict)
    full_requests: int = 8
    service_settings: Mapping[str, Any] = field(default_factory=dict)
    limits: Mapping[str, Any] = field(default_factory=dict)
    platform_timeout: float = 0.5
    unfenced: Sequence[str] = ()


@dataclass(slots=True)
class EntryProcess:
    """An entry daemon and the addresses of its listeners.

    :param child: its process; None before the first start.
    """

    name: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    settings: Path
    child: Child | None = None


def reserve_port() -> socket.socket:
    """Return a socket bound to a free port outside the ephemeral range.

    Until the socket is closed, no other reservation gets the port, but a listener that sets
    ``SO_REUSEADDR`` may use it.
    """
    while True:
        reservation = socket.socket()
        try:
            reservation.bind((LOCAL_HOST, random.randrange(*LISTENER_PORTS)))
        except OSError:
            reservation.close()
            continue
        # Set only now: two sockets that both have it when they are bound can have the same port.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return reservation


def pick_free_address() -> str:
    """Return a loopback address whose port is free and outside the ephemeral range."""
    with reserve_port() as reservation:
        return address_of(reservation)


def address_of(reservation: socket.socket) -> str:
    """Return the address of a reserved port."""
    return f"{LOCAL_HOST}:{reservation.getsockname()[1]}"


def _toml_lines(settings: Mapping[str, Any]) -> str:
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in settings.items())


class Fleet:
    """Context manager that starts and stops the processes of a fleet."""

    def __init__(self, plan: FleetPlan | None = None) -> None:
        self.plan = plan or FleetPlan()
        self._folder = tempfile.TemporaryDirectory(prefix="cactuspass-")
        self.folder = Path(self._folder.name)
        self.entries_by_name: dict[str, EntryProcess] = {}
        self.addresses_by_name: dict[str, str] = {}
        self._stand_in_host: Child | None = None
        self._reservations: list[socket.socket] = []

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start the stand-ins, then the entries; wait until all entries are ready and seated."""
        self.plan_entries()
        host_file = self.folder / "host.toml"
        host_file.write_text(self._host_settings(), encoding="utf-8")
        arguments = ["-m", "cactuspass_standins.host", str(host_file)]
        self._stand_in_host = Child("stand-ins", arguments, self.folder / "host.log")
        self.addresses_by_name = self._stand_in_host.read_json_line()
        for entry in self.entries_by_name.values():
            self.start_entry(entry.name)
        for entry in self.entries_by_name.values():
            self.wait_ready(entry.name)
        for entry in self.entries_by_name.values():
            self.wait_seated(entry.name)

    def plan_entries(self) -> None:
        """Choose the names and addresses of the entries."""
        for data_centre in self.plan.data_centres:
            for number in range(self.plan.entries):
                self._plan_entry(f"{data_centre}-{number}", data_centre)

    def stop(self) -> None:
        """Kill every started process and delete the files."""
        for entry in self.entries_by_name.values():
            if entry.child is not None:
                entry.child.kill()
        if self._stand_in_host is not None:
            self._stand_in_host.kill()
        for reservation in self._reservations:
            reservation.close()
        self._folder.cleanup()

    def start_entry(self, name: str) -> None:
        """Start or restart an entry daemon."""
        entry = self.entries_by_name[name]
        entry.settings.write_text(self._entry_settings(entry), encoding="utf-8")
        arguments = ["-m", "cactuspass.daemon", "--settings", str(entry.settings)]
        entry.child = Child(name, arguments, self.folder / f"{name}.log")

    def wait_ready(self, name: str) -> None:
        """Wait until an entry reports that it is ready."""
        callers = self.entries_by_name[name].callers
        self._wait_started(name, lambda: self.status(callers, "/readyz") == 200, f"{name} is ready")

    def wait_seated(self, name: str) -> None:
        """Wait until every entry in the same data centre has a seat, so that it may hold groups."""
        self._wait_started(
            name,
            lambda: len(self.rows("entries where seated = true", name)) == self.plan.entries,
            f"all entries in the data centre of {name} are seated",
        )

    def _wait_started(self, name: str, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition of an entry holds that has been started."""
        try:
            wait_until(condition, what, START_TIMEOUT_SECONDS)
        except TrialError as error:
            raise TrialError(f"{error}\n{self.describe()}") from error

    def describe(self) -> str:
        """Return what each entry shows of its data centre, and the end of its log."""
        return "\n".join(map(self._describe_entry, self.entries_by_name.values()))

    def _describe_entry(self, entry: EntryProcess) -> str:
        child = entry.child
        if child is None:
            return f"{entry.name} was not started"
        rows: list[dict[str, Any]] = []
        state = ""
        if not child.is_running:
            state = " (ended)"
        elif child.is_paused:
            state = " (paused)"
        else:
            entries = self.rows("entries", entry.name)
            near = [row for row in entries if row["data_centre"] == entry.data_centre]
            rows = [*self.rows("groups", entry.name), *near]
        lines = child.log.read_text(encoding="utf-8").splitlines()[-DESCRIBED_LOG_LINES:]
        return "\n  ".join([f"{entry.name}{state} shows", *map(str, rows), "and logged", *lines])

    def operator(self, name: str) -> OperatorClient:
        """Return a client of an entry's operator API."""
        return OperatorClient(self.entries_by_name[name].operators, OPERATOR_TOKEN)

    def rows(self, query: str, entry: str = "") -> list[dict[str, Any]]:
        """Return the rows of a query by column; an empty list if the query fails.

        :param entry: entry that is queried; the first one by default.
        """
        name = entry or next(iter(self.entries_by_name))
        try:
            found = self.operator(name).ask(query).found
        except CactuspassError:
            return []
        return [dict(zip(found.columns, row, strict=True)) for row in found.rows]

    def status(self, address: str, path: str) -> int:
        """Return the HTTP status of a path; 0 if there is no response."""
        try:
            with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
                return int(answer.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def control(self, stand_in: str, action: str, **arguments: Any) -> dict[str, Any]:
        """Send a control action to a stand-in; the action ``counts`` returns its counters."""
        address = self.addresses_by_name[stand_in]
        url = f"http://{address}/standin/{action}"
        body = None if action == "counts" else json.dumps(arguments).encode()
        request = urllib.request.Request(url, body, {"Content-Type": "application/json"})
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_SECONDS) as answer:
            found: dict[str, Any] = json.loads(answer.read() or b"{}")
            return found

    def cut(self, *links: tuple[str, str]) -> None:
        """Cut links between entries, upstreams and ``platform``.

        The connections stay open, but neither end receives data.
        """
        self.control("network", "cut", links=[list(link) for link in links])

    def heal(self) -> None:
        """Restore every link."""
        self.control("network", "heal")

    def isolate(self, names: Sequence[str], others: Sequence[str]) -> None:
        """Cut every link between two sets of processes."""
        self.cut(*((name, other) for name in names for other in others))

    def read_counters(self, prefix: str, counter: str) -> list[Any]:
        """Return a counter of every stand-in whose name begins with a prefix, in order of name."""
        names = [name for name in self.addresses_by_name if self._is_stand_in(name, prefix)]
        return [self.control(name, "counts").get(counter) for name in sorted(names)]

    @staticmethod
    def _is_stand_in(name: str, prefix: str) -> bool:
        return name.startswith(prefix) and not name.startswith("platform-")

    def _plan_entry(self, name: str, data_centre: str) -> None:
        self.entries_by_name[name] = EntryProcess(
            name,
            data_centre,
            callers=self._reserve_address(),
            operators=self._reserve_address(),
            peers=self._reserve_address(),
            settings=self.folder / f"{name}.toml",
        )

    def _reserve_address(self) -> str:
        self._reservations.append(reserve_port())
        return address_of(self._reservations[-1])

    def _host_settings(self) -> str:
        tables = ["[platform]\n", "[instances]\nlag = 0.0\n"]
        if self.plan.has_relays:
            tables.append(f"[network]\nviewers = {json.dumps(list(self.entries_by_name))}\n")
        for data_centre in self.plan.data_centres:
            tables.append(self._engine_table(data_centre))
            tables.append(
                f'[[services]]\ninstance_id = "{data_centre}-{SERVICE}"\nkind = "{SERVICE_KIND}"\n'
                f'service = "{SERVICE}"\ndata_centre = "{data_centre}"\n'
                f"count = {self.plan.services}\ncold_requests = 8\nfull_requests = 16\n"
                f"{_toml_lines(self.plan.service_settings)}"
            )
        for name, address in self.plan.listed_engines.items():
            tables.append(
                f'[[listed]]\ninstance_id = "{name}"\nrole = "engine"\nkind = "{KIND}"\n'
                f'address = "{address}"\ndata_centre = "{self.plan.data_centres[0]}"\n'
                f'fabric_domain = "fabric"\naccelerators = 4\n'
            )
        for entry in self.entries_by_name.values():
            tables.append(
                f'[[listed]]\ninstance_id = "{entry.name}"\nrole = "entry"\n'
                f'address = "{entry.peers}"\ndata_centre = "{entry.data_centre}"\n'
            )
        return "\n".join(tables)

    def _engine_table(self, data_centre: str) -> str:
        additional = _toml_lines(self.plan.engine_settings)
        checks_fence = self.plan.checks_fence and data_centre not in self.plan.unfenced
        return (
            f'[[engines]]\ninstance_id = "{data_centre}-engine"\nkind = "{KIND}"\n'
            f'data_centre = "{data_centre}"\nfabric_domain = "{data_centre}-fabric"\n'
            f"count = {self.plan.engines}\naccelerators = 4\ncold_requests = 2\n"
            f"full_requests = 8\nwarm_step = 1.0\nload_seconds = 0.5\n"
            f"checks_fence = {json.dumps(checks_fence)}\n{additional}"
        )

    def _entry_settings(self, entry: EntryProcess) -> str:
        addresses = self.addresses_by_name
        platform = addresses.get(f"platform-{entry.name}", addresses["platform"])
        instances = addresses.get(f"list-{entry.name}", addresses["instances"])
        return f"""
entry_id = "{entry.name}"
data_centre = "{entry.data_centre}"

[listeners]
callers = "{entry.callers}"
operators = "{entry.operators}"
peers = "{entry.peers}"

[platform]
addresses = ["{platform}"]
instance_list = "{instances}"
timeout_seconds = {self.plan.platform_timeout}

[peers]
token = "{PEER_TOKEN}"

[operators]
token = "{OPERATOR_TOKEN}"

[limits]
drain_seconds = {self.plan.drain_seconds}
{_toml_lines(self.plan.limits)}

[[upstream_kinds]]
kind = "{KIND}"
cold_requests = {2 if self.plan.full_requests == 8 else self.plan.full_requests}
full_requests = {self.plan.full_requests}
warm_step = 1.0
checks_fence = {json.dumps(self.plan.checks_fence)}

[[upstream_kinds]]
kind = "{SERVICE_KIND}"
cold_requests = 8
full_requests = 16
is_engine = false

[[services]]
name = "{SERVICE}"
kind = "{SERVICE_KIND}"

[[customers]]
id = "library"
api_key = "{API_KEY}"

[[objectives]]
first_token_seconds = 0.61
share = 0.95
"""
