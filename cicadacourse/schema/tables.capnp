@0xe3a94f5c70b1d286;
# Messages by which instances pass the tables in force on to each other.

struct AcceptedEdit {
  editId @0 :Text;
  version @1 :UInt64;
}

struct SnapshotRequest {
  # Asks for the tables if the other side has followed the log beyond a position.
  position @0 :UInt64;
}

struct SnapshotReply {
  newer @0 :Bool;
  position @1 :UInt64;
  version @2 :UInt64;
  editId @3 :Text;
  author @4 :Text;
  routes @5 :Text;
  pools @6 :Text;
  recentEdits @7 :List(AcceptedEdit);
  restatedFrom @8 :UInt64;
  restatedAtMs @9 :UInt64;
}

struct Announcement {
  # Tells that the sender holds tables of a position, to be fetched from it.
  address @0 :Text;
  position @1 :UInt64;
}

struct Announced {
}
