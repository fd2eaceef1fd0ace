"""Rollout of bundles through the replicated log and distribution to entry VMs.

`control.Control` implements `entry.parts.Control`. It is built with the
`records.RestoredState` that `knapweedbeam_wire.store.store.Store.load` returns, or
with an empty `RestoredState()` on a VM without a data folder. `Persist` effects go
to `Store.apply`, followed by `Control.persisted(batch)`, or by
`Control.persist_failed()` if that fails.
"""
