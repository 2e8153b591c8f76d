@0xd3f0b7a96c1e5284;
# Probes, requests for grants and their return, between holders and dispatchers.

struct Work {
  requestId @0 :Text;
  attempt @1 :UInt32;
  organisation @2 :Text;
  pool @3 :Text;
  promptTokens @4 :UInt64;
  maxOutputTokens @5 :UInt64;
  prefix @6 :List(UInt64);
}

struct Probe {
  work @0 :Work;
  endpoints @1 :List(Text);
}

struct Estimate {
  endpoint @0 :Text;
  # Seconds until the first token would be out.
  firstTokenS @1 :Float64;
  # Seconds by which the prefill of others would delay the tokens after it.
  interferenceS @2 :Float64;
}

struct Estimates {
  estimates @0 :List(Estimate);
}

struct GrantRequest {
  work @0 :Work;
  endpoint @1 :Text;
  timeLeftS @2 :Float64;
}

struct GrantReply {
  # Empty while the request still waits; the holder asks again.
  session @0 :Text;
  priority @1 :Int32;
  startWithinS @2 :Float64;
}

struct Withdrawal {
  requestId @0 :Text;
  attempt @1 :UInt32;
  endpoint @2 :Text;
}

struct ReturnedGrant {
  endpoint @0 :Text;
  session @1 :Text;
}

struct Returns {
  grants @0 :List(ReturnedGrant);
}

struct Done {
}
