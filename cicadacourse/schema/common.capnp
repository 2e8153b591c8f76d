@0xb7d1f0c2a9e84311;
# The envelope of every call between instances.

struct Envelope {
  # One message: the name that its class is registered under, and its packed struct.
  name @0 :Text;
  body @1 :Data;
  timeoutS @2 :Float64;
  # How long the calling instance waits, in seconds; the called one then stops handling
  # the message.
}

struct Failure {
  # An error that the called instance returns in place of a reply. run says whether the
  # refused request ran; it is empty if that isn't said.
  kind @0 :Text;
  detail @1 :Text;
  reason @2 :Text;
  run @3 :Text;
  retryAfterS @4 :Float64;
  hasRetryAfterS @5 :Bool;
}

interface Peer {
  call @0 (request :Envelope) -> (reply :Envelope);
  # The reply to a failed call is an envelope with a Failure.
}
