"""The `knapweedbeam` process: HTTP, logs, metrics and the gevent shell."""
