"""Find the struct of each message class among the schema files."""

from __future__ import annotations

import collections.abc
import importlib.resources

from knapweedbeam_wire import codec


class MissingStructError(Exception):
    """A message class has no struct of its name in any schema file."""


def get_schema_files() -> tuple[str, ...]:
    """Return the names of all schema files."""
    folder = importlib.resources.files("knapweedbeam_wire") / "schema"
    names = sorted(entry.name for entry in folder.iterdir())
    return tuple(name for name in names if name.endswith(".capnp"))


def build_codec(classes: collections.abc.Iterable[type]) -> codec.Codec:
    """Return a codec for `classes`; raises `MissingStructError`."""
    schemas = [(name, codec.load_schema(name)) for name in get_schema_files()]
    built = codec.Codec()
    for cls in classes:
        names = [name for name, schema in schemas if hasattr(schema, cls.__name__)]
        if len(names) != 1:
            raise MissingStructError(f"{cls.__name__} stands in {names}")
        built.register(names[0], cls)
    return built
