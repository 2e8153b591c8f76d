@0xd3b7f1e0a96c42d5;
# Load reports, and the messages that fetch a configuration or a registry.

struct Run {
  # An assignment: one request's share of one endpoint. readMs is its prefill time,
  # and isRead says whether that prefill is done. gapMs is the longest inter-token gap
  # that its stream allows, and ageMs the time since its placement.
  endpoint @0 :Text;
  role @1 :Text;
  contextTokens @2 :UInt32;
  readMs @3 :UInt16;
  gapMs @4 :UInt16;
  ageMs @5 :UInt32;
  isRead @6 :Bool;
}

struct LoadReport {
  # All assignments of the sender; a later report replaces an earlier one whole.
  sender @0 :Text;
  runs @1 :List(Run);
}

struct FetchConfiguration {
  # Asks for the configuration in force at the other instance. version is the one that
  # the sender holds, 0 for none.
  sender @0 :Text;
  version @1 :UInt64;
  takesDelta @2 :Bool;
}

struct Configuration {
  # value holds the bytes of the configuration as the operator wrote them, for a sender
  # that takes no delta; empty if there is none. Otherwise delta leads from baseVersion
  # (0: from empty bytes) to version, the one in force at the instance. The store's
  # records before offset hold no newer version. evacuations are what the instance knows
  # of failure domains; if knowsEvacuations, that is all that the records before offset
  # say about them.
  value @0 :Data;
  version @1 :UInt64;
  baseVersion @2 :UInt64;
  delta @3 :Data;
  offset @4 :UInt64;
  evacuations @5 :List(Evacuation);
  knowsEvacuations @6 :Bool;
}

struct Evacuation {
  # Whether a failure domain is evacuated, and the position in the store's topic from
  # which that is known.
  failureDomain @0 :Text;
  isInForce @1 :Bool;
  position @2 :UInt64;
}

struct Endpoint {
  # One endpoint as the registry lists it. startedMs is its start in Unix milliseconds,
  # 0 if the registry doesn't say it. coldMs is for how long it is still cold. position
  # is the one in the store's log up to which no newer entry of it exists; 0 if the sender
  # is of an earlier release.
  id @0 :Text;
  pool @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  state @5 :Text;
  startedMs @6 :UInt64;
  coldMs @7 :UInt32;
  position @8 :UInt64;
}

struct FetchRegistry {
  # Asks for all endpoints that the other instance knows.
  sender @0 :Text;
  takesPacked @1 :Bool;
}

struct Registry {
  # All endpoints that have an entry, and the offset up to which the registry had been
  # read when they last changed. packed holds a compressed Registry with the endpoints in
  # their place, for a sender that takes it. heldIds are endpoints without an entry that
  # the instance still uses, as their entries may have expired during an outage of the
  # store; earlier releases list these among the endpoints.
  offset @0 :UInt64;
  endpoints @1 :List(Endpoint);
  packed @2 :Data;
  heldIds @3 :List(Text);
}
