"""An open-loop load generator.

Request times are drawn before the run, so that slow responses do not lower the load. Latencies are reported
as histograms.
"""
