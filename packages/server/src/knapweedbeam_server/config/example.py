"""Build the example settings file from the schema."""

from __future__ import annotations

from knapweedbeam_server.config import schema

COMMENT_COLUMN = 40
HEAD = """\
; Settings of one knapweedbeam process, every key with its default.
; Relative paths start from the folder of this file. Addresses are IP numbers.
"""
PEERS = """
[peers]
; Every other entry VM: its name, failure domain and link address, such as
; a2 = alajuela 127.1.1.2:7000
"""


def build_section(section: type[schema.Section]) -> str:
    """Return one section with a comment for each key."""
    lines = [f"\n[{section.title}]"]
    for name, option in section.get_options().items():
        text = f"{option.key or name} = {option.default}".rstrip()
        lines.append(f"{text:{COMMENT_COLUMN}} ; {option.help_text}")
    return "\n".join(lines) + "\n"


def build_example() -> str:
    """Return the text of the whole file."""
    return HEAD + "".join(map(build_section, schema.SECTIONS)) + PEERS
