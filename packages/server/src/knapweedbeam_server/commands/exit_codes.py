"""Exit statuses of commands.

Status 2 is an invalid command line; `process.ExitStatus` has the others.
"""

from __future__ import annotations

import typing

OK: typing.Final = 0
INVALID_SETTINGS: typing.Final = 5
CANNOT_WRITE: typing.Final = 6
