"""Scripted bad days against real gateway processes on loopback, judged from what the stand-ins saw."""
