"""A load tool: requests at times drawn before the run, so that slow answers hide nothing; what clients saw, in histograms."""
