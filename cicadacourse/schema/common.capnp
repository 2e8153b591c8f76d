@0xb7d1f0c2a9e84311;
# The envelope of every call between instances.

struct Envelope {
  # One message: the name it is registered under, and its struct, packed.
  name @0 :Text;
  body @1 :Data;
  timeoutS @2 :Float64;
  # How long the asking side waits; the answering side gives up then.
}

struct Failure {
  # An error that the answering side raised, in place of a reply.
  kind @0 :Text;
  detail @1 :Text;
  reason @2 :Text;
  run @3 :Text;
  retryAfterS @4 :Float64;
  hasRetryAfterS @5 :Bool;
}

interface Peer {
  call @0 (request :Envelope) -> (reply :Envelope);
  # A failed call is answered by an envelope around a Failure.
}
