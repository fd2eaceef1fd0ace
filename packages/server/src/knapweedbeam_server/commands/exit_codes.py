"""Exit statuses of commands; 2 is a wrong command line, `process` has others."""

from __future__ import annotations

import typing

OK: typing.Final = 0
INVALID_SETTINGS: typing.Final = 5
CANNOT_WRITE: typing.Final = 6
