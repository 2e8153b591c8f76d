@0xc1f6a2705d3be0a9;
# Messages of the membership protocol; each carries the sender's own record.

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
  # A probe; with a target, a request for an indirect probe of that address.
  sender @0 :Member;
  target @1 :Text;
  deltas @2 :List(Member);
}

struct Ack {
  # The answer to a probe; reached is false if the target of an indirect probe didn't
  # answer.
  sender @0 :Member;
  reached @1 :Bool;
  deltas @2 :List(Member);
}

struct SyncDigest {
  # Opens an anti-entropy exchange; digest is a hash over the records of the sender and
  # of all members that are not dead in its view. deltas holds only recent changes, with
  # the record of the other side that it may have to refute.
  sender @0 :Member;
  digest @1 :UInt64;
  deltas @2 :List(Member);
}

struct SyncHashes {
  # The answer to a digest: one hash per bucket, none if the digests are equal.
  sender @0 :Member;
  hashes @1 :List(UInt64);
  deltas @2 :List(Member);
}

struct SyncMembers {
  # All members of the buckets that differ, the dead included; answered by those of the
  # other side.
  sender @0 :Member;
  buckets @1 :List(UInt16);
  members @2 :List(Member);
}
