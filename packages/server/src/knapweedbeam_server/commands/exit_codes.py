"""Exit statuses of `knapweedbeam`; 2 is a wrong command line."""

from __future__ import annotations

import typing

OK: typing.Final = 0
INVALID_SETTINGS: typing.Final = 3
CANNOT_WRITE: typing.Final = 4
