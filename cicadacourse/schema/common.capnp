@0xb7d1f0c2a9e84311;
# The envelope of every call between instances.

struct Envelope {
  # One message: the name it is registered under, and its struct.
  name @0 :Text;
  body @1 :AnyPointer;
}

struct Failure {
  # An error that the answering side raised, in place of a reply.
  kind @0 :Text;
  detail @1 :Text;
  reason @2 :Text;
  run @3 :Text;
  retryAfterS @4 :Float64;
}

interface Peer {
  call @0 (request :Envelope) -> (reply :Envelope, failure :Failure, failed :Bool);
}
