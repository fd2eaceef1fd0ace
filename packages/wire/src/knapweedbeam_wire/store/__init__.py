"""The data folder of a control replica."""

from __future__ import annotations

from knapweedbeam_wire.store import store

Store = store.Store
StoreFailure = store.StoreFailure
