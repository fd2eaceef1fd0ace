"""A dispatcher and its endpoints in virtual time: promises and load."""
