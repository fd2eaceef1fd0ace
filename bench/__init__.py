"""Load tool, fake endpoints and platform, history checker, demo; not packaged."""
