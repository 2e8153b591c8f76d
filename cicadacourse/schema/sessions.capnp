@0xa1c4e97d5b3f2068;
# Questions to the owners of engine sessions.

struct HoldQuery {
  sessions @0 :List(Text);
}

struct HoldReply {
  held @0 :List(Text);
}
