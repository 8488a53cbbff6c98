"""Settings as versions: proposed, checked, applied at one instant while the gateway serves, undone."""
