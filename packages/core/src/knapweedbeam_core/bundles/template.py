"""The template of a new bundle's text."""

from __future__ import annotations

import base64
import collections.abc

HEADER = """\
# A bundle: the configuration that operators check, sign and roll out.
version = 1
# How many operators must sign the next bundle.
signatures = 1
# The control VMs, which have a data folder; empty keeps those of the settings.
control_vms = [{control_vms}]

# Relative costs of a millisecond of response time and of a message.
[weights]
response = 1
messages = 1
"""

OPERATOR = """
[[operators]]
name = "{name}"
key = "{key}"
"""

DOMAIN = """
[[failure_domains]]
name = "{name}"
entry_vms = [{entry_vms}]
"""

FOOTER = """
# Bearer tokens are given as the SHA-256 of the token, in hexadecimal.
# [[tokens]]
# role = "endpoint"        # or "platform" or "operator"
# token_sha256 = "..."

# [[members]]
# name = "example"
# standing = 1
# token_sha256 = ["..."]

# [[services]]
# name = "example"
# repeatable = false
# deadline_ms = 30000

# [[units]]
# name = "gross"
# dimension = "task_starts"  # or slot_ms, concurrent_tasks, bytes
# factor = "144"

# [[contracts]]
# member = "example"
# [[contracts.limits]]
# name = "quarter"
# amount = "3/2"             # times the factor, rounded down
# unit = "gross"
# window_s = 900
# alignment = "aligned"      # or "sliding"
"""


def build_bundle_text(
    operator_keys: collections.abc.Mapping[str, bytes],
    entry_vms: collections.abc.Mapping[str, collections.abc.Sequence[str]],
    control_vms: collections.abc.Sequence[str] = (),
) -> str:
    """Return a first bundle, with keys by operator and entry VMs by failure domain."""
    text = HEADER.format(control_vms=format_names(control_vms))
    for name, key in operator_keys.items():
        text += OPERATOR.format(name=name, key=base64.b64encode(key).decode())
    for name, vms in entry_vms.items():
        text += DOMAIN.format(name=name, entry_vms=format_names(vms))
    return text + FOOTER


def format_names(names: collections.abc.Sequence[str]) -> str:
    """Return names as the items of a TOML array."""
    return ", ".join(f'"{name}"' for name in names)
