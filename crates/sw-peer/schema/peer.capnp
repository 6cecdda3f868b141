@0xd3b1f0c2a6e94871;
# Calls between the VMs of a fleet.

struct VmRow {
  vm @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  region @3 :Text;
  listen @4 :Text;
  peerListen @5 :Text;
  leaving @6 :Bool;
  version @7 :UInt64;
  # Size of the VM in thousandths of a core; 0 if it does not state it.
  size @8 :UInt32;
}

struct VmBrief {
  vm @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  version @3 :UInt64;
}

struct EndpointLife {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
}

struct Report {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  running @2 :UInt32;
  queued @3 :UInt32;
  leaving @4 :Bool;
  ageMs @5 :UInt64;
  loaded @6 :List(Text);
}

struct ModelLoad {
  model @0 :Text;
  slots @1 :UInt32;
  load @2 :UInt32;
}

struct DomainSummary {
  domain @0 :Text;
  models @1 :List(ModelLoad);
  vms @2 :List(VmRow);
  ageMs @3 :UInt64;
  vouched @4 :List(UInt64);
}

struct Heartbeat {
  # The sender: either `from` or `brief` is set.
  from @0 :VmRow;
  brief @1 :VmBrief;
  receiverDigest @2 :UInt64;
  membersDigest @3 :UInt64;
  members @4 :List(VmRow);
  leaving @5 :List(EndpointLife);
  reports @6 :List(Report);
  summaries @7 :List(DomainSummary);
  storeRevision @8 :Int64;
  storeDistrustMs @9 :UInt64;
}

struct Envelope {
  request @0 :Text;
  workspace @1 :Text;
  route @2 :Text;
  version @3 :UInt64;
  leftMs @4 :UInt64;
  hops @5 :UInt32;
  purpose @6 :Text;
  ticket @7 :Text;
  method @8 :Text;
  path @9 :Text;
  contentType @10 :Text;
}

struct Refusal {
  kind @0 :Text;
  retryAfterMs @1 :UInt64;
  hasRetryAfter @2 :Bool;
  # Set if builds that do not know the kind read another one in its place.
  specificKind @3 :Text;
}

struct Configuration {
  version @0 :UInt64;
  digest @1 :Data;
  # The text between the prefix and the suffix that are shared with the base.
  text @2 :Text;
  base @3 :Data;
  prefixLen @4 :UInt64;
  suffixLen @5 :UInt64;
}

interface Sink {
  head @0 (status :UInt16, contentType :Text) -> ();
  chunk @1 (data :Data) -> ();
}

interface Peer {
  greet @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  configuration @1 (known :Data) -> (configuration :Configuration);
  forward @2 (envelope :Envelope, body :Data, sink :Sink) -> (length :UInt64, refused :Bool, refusal :Refusal);
  lookUp @3 (workspace :Text, ticket :Text) -> (known :Bool, begin :Text);
}
