"""A course's limit for every byte, whatever the dialect: ``account`` decides and is pure, ``tolls`` waits and pays."""
