@0xc86e2f51d4a0973b;
# Exchanges with endpoints that one instance carries for another that has no link to them.

struct Endpoint {
  # One endpoint as the sender's registry lists it. startedMs is its start in Unix
  # milliseconds.
  id @0 :Text;
  pool @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  state @5 :Text;
  startedMs @6 :UInt64;
  hasStartedMs @7 :Bool;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Prompt {
  model @0 :Text;
  tokens @1 :UInt64;
  maxOutputTokens @2 :UInt64;
  sharedPartIds @3 :List(Text);
}

struct Helper {
  address @0 :Text;
  reservationId @1 :Text;
}

struct CallerRequest {
  # The caller's request. The key stays at the sender; arrived is not used.
  id @0 :Text;
  method @1 :Text;
  host @2 :Text;
  target @3 :Text;
  key @4 :Text;
  arrived @5 :Float64;
  timeoutS @6 :Float64;
  hasTimeoutS @7 :Bool;
  lastEventId @8 :Text;
  prompt @9 :Prompt;
  headers @10 :List(Header);
  body @11 :Data;
  headerBytes @12 :UInt32;
}

struct EndpointRequest {
  # What one attempt sends to an endpoint; timeLeftS is what is left when it is sent.
  caller @0 :CallerRequest;
  endpoint @1 :Endpoint;
  organisation @2 :Text;
  timeLeftS @3 :Float64;
  helpers @4 :List(Helper);
  lastEventId @5 :Text;
  needsNewConnection @6 :Bool;
}

struct ResponseHead {
  status @0 :UInt16;
  headers @1 :List(Header);
  neverRan @2 :Bool;
  faultAddress @3 :Text;
  requestLimit @4 :Float64;
  hasRequestLimit @5 :Bool;
  isLimitMalformed @6 :Bool;
  isMisdirected @7 :Bool;
  retryAfterS @8 :Float64;
  hasRetryAfterS @9 :Bool;
  isRetryAfterMalformed @10 :Bool;
  isLeaving @11 :Bool;
}

struct ExchangeFailure {
  # Why an endpoint gave no complete response to the instance that carries the exchange.
  detail @0 :Text;
  mayHaveRun @1 :Bool;
  reason @2 :Text;
  isWithdrawn @3 :Bool;
  isBrokenOff @4 :Bool;
}

struct OpenProxied {
  # Asks for a connection to an endpoint. exchange is an id that the sender chooses;
  # request is the caller's id of the request, for the log. bodyBytes is the size of its
  # body, 0 from earlier releases.
  exchange @0 :Text;
  sender @1 :Text;
  request @2 :Text;
  endpoint @3 :Endpoint;
  isIdempotent @4 :Bool;
  needsNewConnection @5 :Bool;
  bodyBytes @6 :UInt64;
}

struct ProxiedOpened {
  # The connection is there; nothing has been sent on it. isKept is whether it has been
  # used before.
  isKept @0 :Bool;
}

struct SendProxied {
  # Sends a request on the connection of an exchange, once. Its reply is the first piece.
  exchange @0 :Text;
  request @1 :EndpointRequest;
  headTimeoutS @2 :Float64;
}

struct ReadProxied {
  # Asks for a piece of the response. A piece is dropped once the next one is asked for.
  # If isKeepAlive is set, no piece is asked for, but the exchange goes on.
  exchange @0 :Text;
  number @1 :UInt64;
  isKeepAlive @2 :Bool;
}

struct ProxiedPiece {
  # Piece 0 has the head, the later ones the body in order. The last one has isEnd set,
  # or a failure. If isPending is set, the piece has not come yet.
  number @0 :UInt64;
  isPending @1 :Bool;
  isEnd @2 :Bool;
  data @3 :Data;
  head @4 :ResponseHead;
  failure @5 :ExchangeFailure;
}

struct CloseProxied {
  # Ends an exchange; one in progress is cancelled at the endpoint. If closesKept is set,
  # connections to the endpoint that wait for their next use are closed too, as they may
  # be silent.
  exchange @0 :Text;
  closesKept @1 :Bool;
}

struct ProxiedClosed {}
