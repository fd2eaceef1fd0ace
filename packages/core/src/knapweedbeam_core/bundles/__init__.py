"""Bundles: the configuration text that operators write, sign and roll out.

The functions for a command line, by module:

- `model.parse_bundle(text: str) -> model.Bundle | tuple[model.BundleError, ...]`
  parses the unsigned or the signed form and returns all errors at once, each with
  `field` and `detail`;
- `signing.parse_signed(text: str) -> signing.Signed | model.BundleError` splits a
  signed text into `unsigned`, `digest` (SHA-256 hex of the unsigned bytes) and
  `signatures`;
- `signing.sign_bundle(text: str, private_key: bytes) -> str | model.BundleError`
  adds one signature line (raw 32-byte Ed25519 key) and keeps earlier ones;
- `signing.verify_signatures(signed, keys: Sequence[bytes], needed: int) -> bool`;
- `signing.generate_key() -> tuple[bytes, bytes]` returns a private and a public key;
- `explain.explain_limits(bundle) -> tuple[explain.LimitLine, ...]`, each with
  `member`, `limit`, `written` and `exact`;
- `compare.compare_bundles(old, new) -> tuple[compare.Change, ...]`, each with
  `whom`, `what`, `old` and `new`;
- `template.build_bundle_text(operator_keys, entry_vms, control_vms) -> str`;
- `compile.compile_rules(bundle, digest) -> rules.Rules`.
"""
