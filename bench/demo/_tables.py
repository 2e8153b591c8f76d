"""The tables that the demo publishes."""

ROUTES = """\
[route chat]
pool = assistants
kind = generate
max_output_tokens = 512

[route booking]
pool = bookings
kind = call
"""

POOLS = """\
[pool assistants]
group = engines

[pool bookings]
group = services
"""

CHANGED_ROUTES = ROUTES + """
[route briefing]
pool = assistants
kind = generate
max_output_tokens = 1024
"""
