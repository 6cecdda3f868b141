@0xa7c4e1d90b5f3826;
# Calls between VMs about discovered services.

using Peer = import "peer.capnp";

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct EndpointLoad {
  endpoint @0 :Text;
  running @1 :UInt32;
  backlogMs @2 :UInt32;
  gapMs @3 :UInt32;
}

struct ServiceLoad {
  service @0 :Text;
  usable @1 :UInt32;
  waitMs @2 :UInt32;
  gapMs @3 :UInt32;
}

# Work that callers ask for.
struct RouteDemand {
  route @0 :Text;
  service @1 :Text;
  # Milliseconds of an endpoint's time in a second.
  workMs @2 :UInt32;
}

struct VmAge {
  vm @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
  # Services to whose endpoints in its region the VM has no path.
  cutOff @3 :List(Text);
}

struct KeptPart {
  key @0 :UInt64;
  endpoint @1 :Text;
  ageMs @2 :UInt32;
}

struct RateLimit {
  incarnation @0 :UInt64;
  # Requests per second; negative if a limit has ended.
  perSecond @1 :Float64;
  ageMs @2 :UInt32;
}

struct EndpointRateLimit {
  endpoint @0 :Text;
  # If the rejection limit is set: the end of a limit of no incarnation, which changes nothing at a VM that skips that one.
  state @1 :RateLimit;
  # The rejections per second that the endpoint can bear; set if this is reported instead of its rate limit.
  rejections @2 :RateLimit;
}

struct Crash {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  # Ids of the prompt parts that the endpoint had begun to answer.
  suspects @2 :List(UInt64);
  ageMs @3 :UInt32;
  # Requests that the endpoint may have begun to run.
  requests @4 :List(Fingerprint);
  # How far the endpoint had come with them.
  progress @5 :CrashProgress;
}

# The first one is all that builds without this field report.
enum CrashProgress {
  noEvent @0;
  begun @1;
  writing @2;
}

struct Fingerprint {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct AnsweredRequest {
  fingerprint @0 :Fingerprint;
  ageMs @1 :UInt32;
}

struct AnsweredPart {
  id @0 :UInt64;
  ageMs @1 :UInt32;
}

struct DomainView {
  domain @0 :Text;
  region @1 :Text;
  ageMs @2 :UInt32;
  vms @3 :List(VmAge);
  endpoints @4 :List(EndpointLoad);
  services @5 :List(ServiceLoad);
  kept @6 :List(KeptPart);
  rateLimits @7 :List(EndpointRateLimit);
  crashes @8 :List(Crash);
  answeredParts @9 :List(AnsweredPart);
  answeredRequests @10 :List(AnsweredRequest);
  # Work that callers of its VMs ask for.
  demands @11 :List(RouteDemand);
}

struct StreamOrigin {
  # Id of the request that brought the first event.
  stream @0 :Text;
  service @1 :Text;
  software @2 :Text;
}

struct VersionAge {
  # Empty if endpoints did not state their version.
  version @0 :Text;
  # Time since an endpoint of the version was registered.
  ageMs @1 :UInt32;
}

struct ServiceVersions {
  service @0 :Text;
  # Time for which the sender has followed the registrations.
  observedMs @1 :UInt32;
  versions @2 :List(VersionAge);
}

struct Beat {
  from @0 :Peer.VmRow;
  members @1 :UInt64;
  known @2 :List(Peer.VmRow);
  revision @3 :UInt64;
  endpoints @4 :List(EndpointLoad);
  domains @5 :List(DomainView);
  kept @6 :List(KeptPart);
  rateLimits @7 :List(EndpointRateLimit);
  crashes @8 :List(Crash);
  answeredParts @9 :List(AnsweredPart);
  versions @10 :List(ServiceVersions);
  # Era of the store plus 1; 0 if the sender knows no eras.
  era @11 :UInt64;
  # Whether the sender retains states that the store has lost.
  retains @12 :Bool;
  answeredRequests @13 :List(AnsweredRequest);
  # The last earlier era that the sender followed, and its last revision; the revision is 0 if it followed none.
  followedEra @14 :UInt64;
  followedUntil @15 :UInt64;
  # Services to whose endpoints in its region the sender has no path.
  cutOff @16 :List(Text);
  # The newest version of the configuration that the sender has heard of and lacks, and the time since then; 0 if there is none.
  newerVersion @17 :UInt64;
  newerHeardMs @18 :UInt32;
  # Whether the sender places new streams by their ids.
  knowsPlacements @19 :Bool;
  # Whether the sender takes rows as differences, so that `known` may lack rows that did not change lately.
  takesDifferences @20 :Bool;
  # Whether the sender wants all rows: in the reply, or if this is a reply, in the next heartbeat.
  wantsRows @21 :Bool;
  # Time since the sender received a heartbeat of the receiver's failure domain, or of the receiver if they are in the same one;
  # 0 if it received none.
  heardMs @22 :UInt32;
  # Age of the proof that the sender's version of the configuration is the newest, plus 1; 0 if it has none.
  proofMs @23 :UInt32;
  # Work that callers of the sender ask for; empty between domains.
  demands @24 :List(RouteDemand);
}

# A part of a large value.
struct Chunk {
  # SHA-256 digest of its content.
  digest @0 :Data;
  # Length of its content in bytes.
  length @1 :UInt32;
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  # Chunks of a large value, which is then empty; only for a receiver that takes chunks.
  chunks @3 :List(Chunk);
}

struct Change {
  item @0 :Item;
  removed @1 :Bool;
}

# The changes of an earlier era that the sender has followed.
struct FollowedEra {
  era @0 :UInt64;
  after @1 :UInt64;
  until @2 :UInt64;
}

# A state of an earlier era that the sender retains although the store shows another one.
struct RetainedItem {
  item @0 :Item;
  removed @1 :Bool;
  # Era of the revision of the item.
  era @2 :UInt64;
  # Rank of the state plus 1; 0 if it has none.
  rank @3 :UInt64;
  # Largest number if it is retained until the key is written.
  leftMs @4 :UInt32;
  # Whether it was written in that era, not in an earlier one.
  isOfEra @5 :Bool;
}

struct EndpointIncarnation {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
}

enum Watched {
  notCurrent @0;
  historyGone @1;
  changes @2;
}

struct Call {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(Header);
  leftMs @3 :UInt64;
  body @4 :Data;
  hops @5 :UInt32;
  elsewhere @6 :Bool;
  resumeAfter @7 :Text;
  # The only software version at which the request may run; not set if any may run it.
  software @8 :Text;
  # Version of the configuration that the sender judges by; 0 if it does not state it.
  version @9 :UInt64;
  # Bytes of the response that the sender takes before it has acknowledged any; 0 if it does not state it.
  window @10 :UInt32;
}

struct Part {
  id @0 :UInt64;
  length @1 :UInt64;
}

struct Reservation {
  endpoint @0 :Text;
  service @1 :Text;
  input @2 :UInt64;
  output @3 :UInt64;
  parts @4 :List(Part);
  limitMs @5 :UInt32;
  urgent @6 :Bool;
  # Distance of an engine with the shared parts cached, plus 1; 0 if there is none.
  source @7 :UInt8;
  # Not set if the sender knows no limit.
  rateLimit @8 :RateLimit;
  # Rejections per second; not set if the sender knows no limit.
  rejectionLimit @9 :RateLimit;
  # Priority plus 1, the most urgent first; 0 if the sender states only whether it is urgent.
  priority @10 :UInt32;
  # Workspace of the request; empty if it has none.
  workspace @11 :Text;
  # Route of the request; empty if the sender does not state it.
  route @12 :Text;
  # Longest pause between two events for which the response is on time; 0 if there is no limit.
  gapMs @13 :UInt32;
  # Time until the first event is late; 0 if the sender does not state it.
  objectiveMs @14 :UInt32;
  # Whether the receiver declines if the prompt makes events of running streams late.
  avoidsPauses @15 :Bool;
}

struct Wait {
  expectedMs @0 :UInt32;
  backlogMs @1 :UInt32;
  # Not set if the coordinator knows no limit.
  rateLimit @2 :RateLimit;
  # Time until the limits admit the request, plus 1; 0 if they are not the reason.
  tokenWaitMs @3 :UInt32;
  # Rejections per second; not set if the coordinator knows no limit.
  rejectionLimit @4 :RateLimit;
  # Time after which to ask again, if the sender states one; 0 if not.
  retryMs @5 :UInt32;
}

# Tokens of a workspace's quota that a VM asks its region's keeper for.
struct QuotaTake {
  workspace @0 :Text;
  needed @1 :UInt64;
  # Further tokens that the VM expects to need shortly.
  wanted @2 :UInt64;
  # Tokens of earlier grants that were not used.
  returned @3 :UInt64;
  # The VM that asks.
  vm @4 :Text;
  # Tokens of requests that the VM has refused without asking.
  refused @5 :UInt64;
}

# A share of a workspace's quota that one region lends to another.
struct QuotaLoan {
  workspace @0 :Text;
  # Tokens per second.
  rate @1 :Float64;
  # Tokens at once.
  burst @2 :UInt64;
  # Time for which the loan lasts.
  lastsMs @3 :UInt32;
}

interface AnswerSink {
  # The software version of the endpoint; empty if it does not state one.
  head @0 (status :UInt16, headers :List(Header), software :Text) -> ();
  chunk @1 (data :Data) -> ();
}

# How a forwarded call ended. The version of the configuration is that by which it is refused; 0 if the receiver does not state it.
struct CallEnd {
  length @0 :UInt64;
  # Not set if the call was not refused.
  refusal @1 :Peer.Refusal;
  version @2 :UInt64;
}

# Takes a body in parts, and then the call that it belongs to, whose own body is empty.
interface BodyUpload {
  write @0 (data :Data) -> ();
  relay @1 (call :Call, sink :AnswerSink) -> (end :CallEnd);
}

interface RelayPeer {
  exchange @0 (beat :Beat) -> (beat :Beat);
  # The era is that of the store plus 1; 0 if the sender knows no eras. Endpoints are listed with the
  # incarnations that were seen leaving.
  # Announced are items whose large values the sender does not have yet.
  snapshot @1 (takesChunks :Bool) -> (revision :UInt64, items :List(Item), era :UInt64, retained :List(RetainedItem), history :List(FollowedEra), leaving :List(EndpointIncarnation), announced :List(Item));
  # The version of the configuration is that by which the call is refused; 0 if the receiver does not state it.
  relay @2 (call :Call, sink :AnswerSink) -> (length :UInt64, refused :Bool, refusal :Peer.Refusal, version :UInt64);
  reserve @3 (reservation :Reservation) -> (granted :Bool, ticket :UInt64, unread :UInt64, wait :Wait, copied :UInt64, source :UInt8);
  # Rejected: by the endpoint. Given up: the endpoint may still run the request. Slowdown: how long work takes at the endpoint
  # at this moment in percent; 0 if it does not state it.
  release @4 (endpoint :Text, ticket :UInt64, absent :Bool, runs :Bool, rejected :Bool, givenUp :Bool, slowdown :UInt16) -> ();
  # The eras are that of the store plus 1; 0 if the sender knows no eras. The proof is that of the version named, with its age plus 1;
  # 0 if there is none. Held is the time for which the receiver kept the call waiting.
  watch @5 (after :UInt64, waitMs :UInt32, era :UInt64, takesChunks :Bool) -> (watched :Watched, revision :UInt64, changes :List(Change), returnedMs :UInt32, era :UInt64, proofMs :UInt32, proofVersion :UInt64, heldMs :UInt32);
  noteOrigins @6 (origins :List(StreamOrigin)) -> ();
  # The origin is not set if it is not known.
  findOrigin @7 (stream :Text) -> (origin :StreamOrigin);
  # Chunks by their digests. The list covers the first of them; a chunk that the receiver does not have is empty.
  chunks @8 (digests :List(Data)) -> (packed :List(Data));
  # Tokens of a workspace's quota, from the VM that keeps it in this region. The wait is the time until the tokens needed are there, if
  # they are not granted.
  takeQuota @9 (take :QuotaTake) -> (granted :UInt64, waitMs :UInt32, keeps :Bool);
  # Loans of quota to the region of the sender, which asks for these and from now on uses no more of those that it has. The sequence
  # grows with each call of the VM. Held is what the receiver's region has borrowed of the sender's.
  lendQuota @10 (region :Text, asked :List(QuotaLoan), vm :Text, sequence :UInt64) -> (lent :List(QuotaLoan), held :List(QuotaLoan));
  # Sets memory aside for a body of this length. The end is set instead if there is none; nothing has run then.
  openBody @11 (length :UInt64) -> (upload :BodyUpload, end :CallEnd);
}
