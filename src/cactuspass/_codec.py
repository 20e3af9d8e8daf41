"""JSON form of the documents that the platform's store holds."""

import json
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from cactuspass._findings import Finding, findings_of_errors
from cactuspass.exceptions import DocumentError
from cactuspass.models import Configuration, Placement

DOCUMENT_FORMAT = 1

DocumentT = TypeVar("DocumentT")


class _Envelope(BaseModel, Generic[DocumentT]):
    """A document and the number of its form."""

    model_config = ConfigDict(extra="forbid", ser_json_inf_nan="constants")

    format: int
    document: DocumentT


_CONFIGURATION = TypeAdapter(_Envelope[Configuration])
_PLACEMENT = TypeAdapter(_Envelope[Placement])


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the configuration as JSON with sorted keys.

    :raises DocumentError: when a number is not finite.
    """
    envelope = _Envelope[Configuration](format=DOCUMENT_FORMAT, document=configuration)
    return _dump("configuration", _CONFIGURATION.dump_python(envelope, mode="json"))


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration that the bytes hold.

    :raises DocumentError: when the bytes are malformed or of another format.
    """
    return _load("configuration", _CONFIGURATION, data).document


def encode_placement(placement: Placement) -> bytes:
    """Return the placement as JSON with sorted keys.

    :raises DocumentError: when a number is not finite.
    """
    envelope = _Envelope[Placement](format=DOCUMENT_FORMAT, document=placement)
    return _dump("placement", _PLACEMENT.dump_python(envelope, mode="json"))


def decode_placement(data: bytes) -> Placement:
    """Return the placement that the bytes hold.

    :raises DocumentError: when the bytes are malformed or of another format.
    """
    return _load("placement", _PLACEMENT, data).document


def _dump(name: str, value: Any) -> bytes:
    try:
        text = json.dumps(
            value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
        )
        return text.encode("utf-8")
    except ValueError as error:
        raise DocumentError((Finding(name, "", str(error)),)) from error


def _load(
    name: str, adapter: TypeAdapter[_Envelope[DocumentT]], data: bytes
) -> _Envelope[DocumentT]:
    try:
        envelope = adapter.validate_json(data)
    except ValidationError as error:
        raise DocumentError(findings_of_errors(name, error.errors())) from error
    if envelope.format != DOCUMENT_FORMAT:
        message = f"format {envelope.format} is not supported"
        raise DocumentError((Finding(name, "format", message),))
    return envelope
