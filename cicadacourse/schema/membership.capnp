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
  configurationVersion @7 :UInt64;
}

struct Ping {
  # A probe; with a target, a request to probe that address on the sender's behalf.
  sender @0 :Member;
  target @1 :Text;
  deltas @2 :List(Member);
}

struct Ack {
  sender @0 :Member;
  reached @1 :Bool;
  deltas @2 :List(Member);
}

struct SyncDigest {
  # Opens an anti-entropy exchange; deltas hold only what the other side must hear.
  sender @0 :Member;
  digest @1 :UInt64;
  deltas @2 :List(Member);
}

struct SyncHashes {
  # One hash per bucket; empty if the digests are equal.
  sender @0 :Member;
  hashes @1 :List(UInt64);
  deltas @2 :List(Member);
}

struct SyncMembers {
  # All members of the buckets that differ; answered by the other side's.
  sender @0 :Member;
  buckets @1 :List(UInt16);
  members @2 :List(Member);
}
