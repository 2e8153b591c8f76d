@0xe2f8a5c7314bd096;
# Permits of a shared rate, which one instance grants to all.

struct AcquirePermit {
  # Asks the instance that keeps the schedule of a key for one permit. rate is in permits
  # per second, as far as the sender knows; maxWaitS is how long the sender would wait.
  # If isInitiallyFull, a schedule that begins with this request has a permit at once.
  key @0 :Text;
  rate @1 :Float64;
  maxWaitS @2 :Float64;
  isInitiallyFull @3 :Bool;
}

struct Permit {
  # waitS is after how many seconds the permit may be used; if it isn't granted, after
  # how many seconds the next one would be free.
  isGranted @0 :Bool;
  waitS @1 :Float64;
}
