@0xd1f58a3e6b0c9472;
# Questions between instances on whether they reach an endpoint.

struct CheckEndpoint {
  # Asks an instance whether it reaches one process of an endpoint; isRefused is whether
  # the sender's own connection was refused.
  endpointId @0 :Text;
  processKey @1 :Text;
  isRefused @2 :Bool;
}

struct EndpointChecked {
  # Whether the process accepts connections of the answering instance, and whether it
  # refuses them or is known to be replaced; neither if that is not known.
  isReached @0 :Bool;
  isRefused @1 :Bool;
}
