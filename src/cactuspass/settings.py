"""Reads the settings of an entry instance from a TOML file."""

import re
import tomllib
from pathlib import Path

from pydantic import ValidationError

from cactuspass._findings import Finding, findings_from_error, format_findings
from cactuspass._settings_checks import check_sections
from cactuspass._settings_reference import example_settings, settings_reference
from cactuspass._settings_sections import (
    Address,
    CustomerSettings,
    LimitSettings,
    ListenerSettings,
    LogFormat,
    LoggingSettings,
    LogLevel,
    ObjectiveSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    ServiceSettings,
    Settings,
    StatsdSettings,
    UpstreamKindSettings,
    parse_address,
)
from cactuspass.exceptions import SettingsError

__all__ = [
    "Address",
    "CustomerSettings",
    "Finding",
    "LimitSettings",
    "ListenerSettings",
    "LogFormat",
    "LogLevel",
    "LoggingSettings",
    "ObjectiveSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "ServiceSettings",
    "Settings",
    "SettingsError",
    "StatsdSettings",
    "UpstreamKindSettings",
    "example_settings",
    "format_findings",
    "load_settings",
    "parse_address",
    "parse_settings",
    "settings_reference",
]

_SYNTAX_ERROR = re.compile(r"^(?P<message>.*) \(at (?P<place>.*)\)$", re.DOTALL)


def load_settings(path: str | Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: with all mistakes found in the file.
    """
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError((Finding(source, "", error.strerror or str(error)),)) from error
    except UnicodeDecodeError as error:
        finding = Finding(source, f"byte {error.start + 1}", "is not UTF-8 text")
        raise SettingsError((finding,)) from error
    return parse_settings(text, source)


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate the text of a settings file.

    :param source: name of the file, for error messages.
    :raises SettingsError: with all mistakes found in the text.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError((_syntax_finding(source, str(error)),)) from error
    section_findings = check_sections(source, document)
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        raise SettingsError((*findings_from_error(source, error), *section_findings)) from error
    if section_findings:
        raise SettingsError(section_findings)
    return settings


def _syntax_finding(source: str, message: str) -> Finding:
    match = _SYNTAX_ERROR.match(message)
    if match is None:
        return Finding(source, "", message)
    return Finding(source, match["place"], match["message"])
