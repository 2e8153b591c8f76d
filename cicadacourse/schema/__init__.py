"""Cap'n Proto schemas of the messages between instances."""
