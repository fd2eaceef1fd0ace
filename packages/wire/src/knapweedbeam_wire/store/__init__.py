"""The data folder of a control replica."""
