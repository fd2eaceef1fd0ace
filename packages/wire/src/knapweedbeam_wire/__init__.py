"""Links between processes and files in the data folder."""
