"""Reads and validates JSON with comments, and reports all mistakes."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import jsonc
import msgspec

Model = TypeVar('Model')


class DocumentError(Exception):
    """A document that cannot be used; each line names one mistake.

    :param problems: file, key path and what was expected, one a line.
    """

    def __init__(self, problems: list[str]) -> None:
        """Create an error.

        :param problems: descriptions, one for each mistake.
        """
        super().__init__('\n'.join(problems))
        self.problems = problems


def read_document(path: str) -> Any:
    """Read a file of JSON with comments, without validation.

    :param path: the file.
    :returns: the parsed value.
    :raises DocumentError: when it cannot be read or parsed.
    """
    try:
        return jsonc.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise DocumentError([f'{path}: $: {error}']) from error


def convert_document(source: str, content: Any, model: type[Model]) -> Model:
    """Validate a parsed value.

    :param source: file or other source, for messages.
    :param content: the parsed value.
    :param model: type that it has to have.
    :returns: the validated value.
    :raises DocumentError: with all mistakes.
    """
    try:
        return msgspec.convert(content, model)
    except msgspec.ValidationError as error:
        problems = _find_problems(source, content, model)
        raise DocumentError(problems or [f'{source}: {error}']) from error


def load_document(path: str, model: type[Model]) -> Model:
    """Read and validate a file.

    :param path: the file.
    :param model: type that it has to have.
    :returns: the validated value.
    :raises DocumentError: when it cannot be read or is invalid.
    """
    return convert_document(path, read_document(path), model)


def _find_problems(source: str, content: Any, model: type[Any]) -> list[str]:
    # Imported only after a mistake: it is too large to load in every daemon.
    import jsonschema  # noqa: PLC0415, WPS433

    validator = jsonschema.Draft202012Validator(msgspec.json.schema(model))
    return [
        f'{source}: {error.json_path}: {error.message}'
        for error in sorted(
            validator.iter_errors(content),
            key=lambda error: error.json_path,
        )
    ]
