"""An open-loop load generator: sends requests at times drawn before the run, so that slow responses do not lower the load, and
reports latencies as histograms.
"""
