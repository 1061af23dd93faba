"""JSON with comments: read, validate, and name every mistake at once."""

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
        """Keep the problems."""
        super().__init__('\n'.join(problems))
        self.problems = problems


def read_document(path: str) -> Any:
    """Read a file of JSON with comments.

    :param path: the file.
    :returns: the plain value.
    :raises DocumentError: when it cannot be read or parsed.
    """
    try:
        return jsonc.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise DocumentError([f'{path}: $: {error}']) from error


def convert_document(source: str, content: Any, model: type[Model]) -> Model:
    """Validate a plain value.

    :param source: file or other name for messages.
    :param content: the plain value.
    :param model: what it has to be.
    :returns: the validated value.
    :raises DocumentError: with every mistake, not only the first.
    """
    try:
        return msgspec.convert(content, model)
    except msgspec.ValidationError as error:
        problems = _find_problems(source, content, model)
        raise DocumentError(problems or [f'{source}: {error}']) from error


def load_document(path: str, model: type[Model]) -> Model:
    """Read and validate a file.

    :param path: the file.
    :param model: what it has to be.
    :returns: the validated value.
    """
    return convert_document(path, read_document(path), model)


def _find_problems(source: str, content: Any, model: type[Any]) -> list[str]:
    # Needed only after a mistake, and too large for a daemon to carry.
    import jsonschema  # noqa: PLC0415, WPS433

    validator = jsonschema.Draft202012Validator(msgspec.json.schema(model))
    return [
        f'{source}: {error.json_path}: {error.message}'
        for error in sorted(
            validator.iter_errors(content),
            key=lambda error: error.json_path,
        )
    ]
