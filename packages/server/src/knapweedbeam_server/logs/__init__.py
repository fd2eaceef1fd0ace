"""Numbered log events, written as JSON lines or text."""
