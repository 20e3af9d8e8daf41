"""JSON encoding of the documents in the platform's store."""

import json
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from cactuspass._findings import Finding, findings_from_error
from cactuspass.exceptions import DocumentError
from cactuspass.models import Configuration, Placement

DOCUMENT_FORMAT = 1

DocumentT = TypeVar("DocumentT")


class _Envelope(BaseModel, Generic[DocumentT]):
    """A document and the number of its format."""

    model_config = ConfigDict(
        extra="forbid",
        ser_json_inf_nan="constants",
        ser_json_bytes="base64",
        val_json_bytes="base64",
    )

    format: int
    document: DocumentT


class DocumentCodec(Generic[DocumentT]):
    """Encodes documents of one type as JSON with sorted keys, and decodes them.

    :param name: name of the document in findings.
    """

    def __init__(self, name: str, document_type: type[DocumentT]) -> None:
        self._name = name
        self._adapter: TypeAdapter[Any] = TypeAdapter(_Envelope[document_type])  # type: ignore[valid-type]
        self._envelope = _Envelope[document_type]  # type: ignore[valid-type]

    def encode(self, document: DocumentT) -> bytes:
        """Return the document as JSON.

        :raises DocumentError: if JSON cannot represent a value, such as a non-finite number.
        """
        envelope = self._envelope(format=DOCUMENT_FORMAT, document=document)
        value = self._adapter.dump_python(envelope, mode="json")
        try:
            text = json.dumps(
                value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
            )
            return text.encode("utf-8")
        except ValueError as error:
            raise DocumentError((Finding(self._name, "", str(error)),)) from error

    def decode(self, data: bytes) -> DocumentT:
        """Return the document that the bytes encode.

        :raises DocumentError: if the bytes are malformed or have another format number.
        """
        try:
            envelope: _Envelope[DocumentT] = self._adapter.validate_json(data)
        except ValidationError as error:
            raise DocumentError(findings_from_error(self._name, error)) from error
        if envelope.format != DOCUMENT_FORMAT:
            message = f"format {envelope.format} is not supported"
            raise DocumentError((Finding(self._name, "format", message),))
        return envelope.document


_CONFIGURATION = DocumentCodec("configuration", Configuration)
_PLACEMENT = DocumentCodec("placement", Placement)

encode_configuration = _CONFIGURATION.encode
decode_configuration = _CONFIGURATION.decode
encode_placement = _PLACEMENT.encode
decode_placement = _PLACEMENT.decode
