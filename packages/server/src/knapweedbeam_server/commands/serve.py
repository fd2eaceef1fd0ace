"""Run one process."""

from __future__ import annotations

import pathlib

from knapweedbeam_core import clock
from knapweedbeam_server import process, system_clock
from knapweedbeam_server.commands import exit_codes, report
from knapweedbeam_server.config import load, problems
from knapweedbeam_server.logs import catalogue, emit

NO_FILE = "defaults"


def serve(path: pathlib.Path | None) -> int:
    """Load the settings and run until a signal stops the process."""
    loaded = load.load_with_problems(path)
    if loaded.settings is None or problems.has_error(loaded.problems):
        report.print_problems(loaded.problems)
        return exit_codes.INVALID_SETTINGS
    settings = loaded.settings
    time: clock.Clock = system_clock.SystemClock()
    emit.set_up(settings.log.format, settings.log.level, time)
    source = NO_FILE if path is None else path
    emit.emit(catalogue.SETTINGS_LOADED, source=source, peers=len(settings.peers))
    for problem in loaded.problems:
        emit.emit(catalogue.SETTINGS_WARNING, problem=problem)
    return process.run(settings)
