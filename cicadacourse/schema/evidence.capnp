@0xa4c9be21d07f5e63;
# Observations of single instances, which travel beside load reports.

struct Fact {
  # One observation: its kind, what was observed, an id that is the same at all
  # instances, a value, and the time since it was made.
  kind @0 :Text;
  key @1 :Text;
  id @2 :UInt64;
  value @3 :Float64;
  ageMs @4 :UInt32;
}

struct FetchFacts {
  # Asks an instance for all facts that it knows.
  sender @0 :Text;
}

struct Facts {
  # Some of the facts that the sender knows, of whichever instance.
  facts @0 :List(Fact);
}
