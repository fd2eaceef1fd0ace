"""Find the struct of each message class among the schema files."""

from __future__ import annotations

import collections.abc
import importlib.resources

from knapweedbeam_wire import codec


class MissingStructError(Exception):
    """A message class doesn't have exactly one struct in the schema files."""


def get_schema_files() -> tuple[str, ...]:
    """Return the names of all schema files."""
    folder = importlib.resources.files("knapweedbeam_wire") / "schema"
    file_names = sorted(path.name for path in folder.iterdir())
    return tuple(name for name in file_names if name.endswith(".capnp"))


def build_codec(classes: collections.abc.Iterable[type]) -> codec.Codec:
    """Return a codec for `classes`; raises `MissingStructError`."""
    schemas = [(name, codec.load_schema(name)) for name in get_schema_files()]
    built = codec.Codec()
    for cls in classes:
        file_names = [name for name, schema in schemas if hasattr(schema, cls.__name__)]
        if len(file_names) != 1:
            raise MissingStructError(
                f"{cls.__name__} is defined in {file_names}, not in one schema file"
            )
        built.register(file_names[0], cls)
    return built
