"""What gateways share: who is there. Off unless the settings name peers; safety rests on none of it."""
