"""The demo: a fleet of processes under a mixed load, a change and two stops."""
