"""The links between processes and the files of the data folder."""
