"""Scripted fault scenarios against real gateway processes on loopback, checked from what the stand-ins recorded."""
