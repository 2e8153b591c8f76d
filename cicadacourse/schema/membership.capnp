@0xc1f6a2705d3be0a9;
# Messages of membership.

enum State { alive @0; suspect @1; leaving @2; dead @3; }

struct Member {
  name @0 :Text;
  peerAddress @1 :Text;
  callerAddress @2 :Text;
  region @3 :Text;
  failureDomain @4 :Text;
  incarnation @5 :UInt64;
  state @6 :State;
  tablesVersion @7 :UInt64;
}

struct Ping {
  # A probe; with a target, a request to probe that address on the sender's behalf.
  source @0 :Text;
  target @1 :Text;
  deltas @2 :List(Member);
}

struct Ack {
  reached @0 :Bool;
  deltas @1 :List(Member);
}

struct Sync {
  # Anti-entropy: everything that one side knows.
  members @0 :List(Member);
}
