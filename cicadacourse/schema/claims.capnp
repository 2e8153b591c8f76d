@0xd5b07a3e6f19c842;
# Messages by which an instance asks the keeper of a partition of claims.

struct ClaimRequest {
  key @0 :Text;
  claimId @1 :Text;
  requestId @2 :Text;
  timeLimitS @3 :Float64;
  waitS @4 :Float64;
}

struct ClaimReply {
  # Kind is won, lost, expired or pending; status 0 stands for no recorded outcome.
  kind @0 :Text;
  requestId @1 :Text;
  status @2 :UInt16;
  body @3 :Data;
}

struct OutcomeRequest {
  key @0 :Text;
  claimId @1 :Text;
  status @2 :UInt16;
  body @3 :Data;
  timeLimitS @4 :Float64;
}

struct OutcomeReply {
}
