@0xe0f3b1d84c7a2965;
# Messages between the instances that admit and the keeper of an organisation.

struct SliceRequest {
  # Asks for a part of an organisation's token bucket on one route.
  organisation @0 :Text;
  route @1 :Text;
  rate @2 :Float64;
  burst @3 :Float64;
  needed @4 :Float64;
  wanted @5 :Float64;
}

struct SliceReply {
  # Tokens to spend, none if fewer than needed are there, and the tokens left.
  tokens @0 :Float64;
  level @1 :Float64;
}
