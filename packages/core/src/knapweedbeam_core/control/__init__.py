"""Bundles rolled through the replicated log and spread to every entry VM.

`control.Control` meets `entry.parts.Control`. It is built with what
`knapweedbeam_wire.store.store.Store.load` returns, a `records.RestoredState`;
`RestoredState()` stands for a VM without a data folder. `Persist` effects go to
`Store.apply`, then `Control.persisted(batch)`; after a failure,
`Control.persist_failed()`.
"""
