"""Decodes values of the store that other programs may have written."""

from __future__ import annotations

from typing import TypeVar

import msgspec

Model = TypeVar('Model')


class OddValueError(ValueError):
    """A value is not what its key says."""


def decode_value(raw: bytes, model: type[Model]) -> Model:
    """Decode and validate a value.

    :param raw: the value.
    :param model: expected type.
    :returns: the decoded value.
    :raises OddValueError: if it is anything else, however it is malformed.
    """
    try:
        return msgspec.json.decode(raw, type=model)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise OddValueError(str(error)) from error
