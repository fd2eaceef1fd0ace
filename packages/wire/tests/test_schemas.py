from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.log import messages as log_messages
from knapweedbeam_core.pool import messages as pool_messages
from knapweedbeam_core.stored import messages as stored_messages
from knapweedbeam_wire import codec, registry

CLASSES = (
    *fleet_messages.CLASSES,
    *log_messages.CLASSES,
    *pool_messages.CLASSES,
    *stored_messages.CLASSES,
)


class SchemaTest(unittest.TestCase):
    def test_field_without_a_place_in_the_schema_is_found(self) -> None:
        """A message with such a field is dropped by its sender."""
        schemas = [codec.load_schema(name) for name in registry.get_schema_files()]
        for cls in CLASSES:
            (struct,) = [
                getattr(schema, cls.__name__)
                for schema in schemas
                if hasattr(schema, cls.__name__)
            ]
            names = {codec.to_camel_case(each.name) for each in dataclasses.fields(cls)}
            self.assertEqual(names - set(struct.schema.fields), set(), cls.__name__)


if __name__ == "__main__":
    unittest.main()
