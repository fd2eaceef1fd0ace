"""Folders for the files of runs, and results as JSON."""

from __future__ import annotations

import pathlib
import shutil
import time
import typing

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent / "results"
PLOTS = ROOT / "plots"
MAX_RUN_FOLDERS = 3

Value = int | float | str | dict[str, int]


class Result(msgspec.Struct):
    """Result of a scenario: its figures by name."""

    scenario: str
    started: str
    figures: dict[str, Value]


def create_run_folder(name: str) -> pathlib.Path:
    """Create a folder for the files of a run and delete the oldest ones.

    At most `MAX_RUN_FOLDERS` remain.
    """
    parent = ROOT / "runs" / name
    parent.mkdir(parents=True, exist_ok=True)
    for old in sorted(parent.iterdir())[: -MAX_RUN_FOLDERS + 1]:
        shutil.rmtree(old, ignore_errors=True)
    stamp = time.strftime("%Y%m%d-%H%M%S")
    folder = parent / f"{stamp}-{time.monotonic_ns() % 1_000_000:06d}"
    folder.mkdir()
    return folder


def save(result: Result) -> pathlib.Path:
    """Write a result as JSON and return its path."""
    ROOT.mkdir(exist_ok=True)
    path = ROOT / f"{result.scenario}-{result.started}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
    return path


def load(path: pathlib.Path) -> Result:
    """Read a result; raises `msgspec.MsgspecError` if the file is not one."""
    return msgspec.json.decode(path.read_bytes(), type=Result)


def compare(old: Result, new: Result) -> list[tuple[str, Value, Value, float | None]]:
    """Return rows of name, old value, new value and ratio of new to old."""
    rows = []
    for name in dict.fromkeys([*old.figures, *new.figures]):
        before, after = old.figures.get(name, ""), new.figures.get(name, "")
        rows.append((name, before, after, get_ratio(before, after)))
    return rows


def get_ratio(before: typing.Any, after: typing.Any) -> float | None:
    """Return `after / before`, or `None` if it is not defined."""
    numbers = all(isinstance(value, int | float) for value in (before, after))
    return after / before if numbers and before else None
