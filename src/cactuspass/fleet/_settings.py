"""Settings of an instance that sends directly to upstreams."""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from cactuspass._findings import Finding, findings_from_errors
from cactuspass.exceptions import SettingsError


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("must be host:port")
    return address


Address = Annotated[str, AfterValidator(_check_address)]
Seconds = Annotated[float, Field(ge=0)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSection(_Section):
    """Who this instance is.

    :param data_centres: names of all data centres.
    """

    name: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    data_centres: tuple[str, ...] = ()


class ListenerSection(_Section):
    """Where this instance listens.

    :param metrics: address of the metrics page; None serves none.
    :param peers: address at which other instances tell of silent upstreams; None hears nothing.
    """

    callers: Address
    readiness: Address
    metrics: Address | None = None
    peers: Address | None = None


class StoreSection(_Section):
    """The platform's store."""

    address: Address


class BoundSection(_Section):
    """What the operators promise callers and upstreams.

    :param key_seconds: time after which a key that was taken away must not work any more.
    :param retry_ratio: repeats for each request that all instances may send.
    :param retry_slack: repeats in a window beyond that ratio.
    :param retry_window: seconds.
    :param cold_factor: factor on the rate that a cold upstream declares.
    :param cold_slack: requests in a second beyond that.
    :param grace_seconds: time between the request to stop and the kill.
    """

    key_seconds: Seconds = 5.0
    retry_ratio: float = Field(default=0.1, ge=0)
    retry_slack: float = Field(default=20.0, ge=0)
    retry_window: Seconds = 10.0
    cold_factor: float = Field(default=1.0, ge=0)
    cold_slack: float = Field(default=0.0, ge=0)
    grace_seconds: Seconds = 8.0


class InstanceSettings(_Section):
    """All settings of an instance."""

    instance: InstanceSection
    listeners: ListenerSection
    store: StoreSection
    bounds: BoundSection = BoundSection()


def parse_instance_settings(text: str, source: str) -> InstanceSettings:
    """Return the settings in a TOML text.

    :param source: name of the file, for messages.
    :raises SettingsError: with every mistake and its place.
    """
    try:
        return InstanceSettings.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise SettingsError((Finding(source, "", str(error)),)) from error
    except ValidationError as error:
        raise SettingsError(findings_from_errors(source, error.errors())) from error


def load_instance_settings(path: str) -> InstanceSettings:
    """Return the settings in a TOML file.

    :raises SettingsError: when the file cannot be read or has mistakes.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Finding(path, "", str(error)),)) from error
    return parse_instance_settings(text, path)
