@0x9f40d6c1b87e253a;
# Orders to engines that one instance sends for another that has no link to them.

struct SendOrder {
  # Reserves or releases KV cache of one process of an engine. An order may arrive twice:
  # it is the same reservation by its id. A renewal is for a request in progress. holdS and tokens are 0 for a release.
  sender @0 :Text;
  endpointId @1 :Text;
  processKey @2 :Text;
  reservationId @3 :Text;
  tokens @4 :UInt64;
  holdS @5 :Float64;
  isRelease @6 :Bool;
  isRenewal @7 :Bool;
}

struct OrderDone {}
  # The engine has done it; else the reply is a failure.
