@0xd1c6a0a87c2b5e11;

# Messages between the relays of two hosts.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujubefront::linkwire");

struct Message {
  union {
    status @0 :Status;
    order @1 :Order;
    reply @2 :Reply;
    cancel @3 :UInt64;  # send id
    ping @4 :UInt64;
    pong @5 :UInt64;
    tableQuery @6 :UInt64;  # version that is known
    tableText @7 :TableText;
    peersQuery @8 :Void;
    peers @9 :List(Text);  # addresses that the sender knows
    zoneSum @10 :ZoneSum;
    backendLeft @11 :BackendLeft;
    suspicion @12 :Suspicion;
    quotaUse @13 :QuotaUse;
    fragment @14 :Fragment;
  }
}

# Part of the encoding of a large message. Other messages may come between the
# parts of one, but no parts of another.
struct Fragment {
  data @0 :Data;
  last @1 :Bool;
  aborted @2 :Bool;  # the sender gives the message up
  # Of the message, in its first part; zero: not stated.
  totalBytes @3 :UInt64;
  orderId @4 :UInt64;  # send id of the order that it is
  replyId @5 :UInt64;  # send id of the order that it answers
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Rate {
  route @0 :Text;
  value @1 :Float64;
}

struct Profile {
  route @0 :Text;
  runs @1 :Float64;
  slotSeconds @2 :Float64;
  calls @3 :List(Rate);
  service @4 :Text;  # within a zone sum; a status names it once
}

struct Demand {
  route @0 :Text;
  priority @1 :UInt32;
  perSecond @2 :Float32;
  arrivalsPerSecond @3 :Float32;
}

struct Arrivals {
  route @0 :Text;
  hostService @1 :Text;
  perSecond @2 :Float32;
}

# What an incarnation of a backend server has stated in its answers.
struct BackendStatement {
  startedAtMs @0 :Int64;
  rateLimit @1 :Float64 = -1;  # negative: none
  leaving @2 :Bool;
}

struct StartLimit {
  perSecond @0 :Float32;  # zero: none
  usableSlots @1 :Float32;
  nextStartInUs @2 :Int64;
}

# Load that a backend server has stated in a response.
struct LoadReport {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;  # zero: no report
  ageMs @3 :UInt32;
  pace @4 :Float32;  # work time relative to the usual one; zero: not stated
}

struct BackendLeft {
  instance @0 :Text;
  startedAtMs @1 :Int64;
  sequence @2 :UInt64;
  gone @3 :Bool;
  coversEarlierStarts @4 :Bool;
}

struct ContentCharge {
  contentHigh @0 :UInt64;
  contentLow @1 :UInt64;
  caller @2 :UInt64;
  incarnation @3 :UInt64;
  ageMs @4 :UInt32;
}

struct ContentClearance {
  contentHigh @0 :UInt64;
  contentLow @1 :UInt64;
  caller @2 :UInt64;
  ageMs @3 :UInt32;
}

struct Suspicion {
  charges @0 :List(ContentCharge);
  clearances @1 :List(ContentClearance);
}

struct ServiceLoad {
  service @0 :Text;
  slots @1 :Float32;
  runs @2 :Float32;
  rejectedSlots @3 :Float32;
}

struct ZoneSum {
  zone @0 :Text;
  region @1 :Text;
  maker @2 :Text;
  makerBoot @3 :UInt64;
  sequence @4 :UInt64;
  hosts @5 :UInt32;
  profiles @6 :List(Profile);
  demands @7 :List(Demand);
  arrivals @8 :List(Arrivals);
  services @9 :List(ServiceLoad);
}

struct Status {
  address @0 :Text;
  boot @1 :UInt64;
  sequence @2 :UInt64;
  zone @3 :Text;
  region @4 :Text;
  leaving @5 :Bool;
  service @6 :Text;
  instance @7 :Text;
  backend @8 :UInt8;
  slots @9 :UInt32;
  running @10 :UInt32;
  waiting @11 :UInt32;
  tableVersion @12 :UInt64;
  profiles @13 :List(Profile);
  demands @14 :List(Demand);
  sentAtUs @15 :Int64;
  readsStore @16 :Bool;
  rejectedShare @17 :Float32;
  backendStartedAtMs @18 :Int64;
  backendSequence @19 :UInt64;
  suspicionDigest @20 :UInt64;
  startLimit @21 :StartLimit;
  storeEra @22 :UInt64;
  documentAgeMs @23 :UInt32 = 0xffffffff;  # the default: unknown
  departed @24 :BackendLeft;
  loadReport @25 :LoadReport;
}

struct Order {
  sendId @0 :UInt64;
  instance @1 :Text;
  route @2 :Text;
  callerService @3 :Text;
  priority @4 :UInt32;
  isCall @5 :Bool;
  idempotent @6 :Bool;
  remainingUs @7 :Int64;
  objectiveLeftUs @8 :Int64;
  traceId @9 :Text;
  method @10 :Text;
  target @11 :Text;
  headers @12 :List(Header);
  body @13 :Data;
  sentAtUs @14 :Int64;
  treeRank @15 :Float32;
  isRepeat @16 :Bool;
  contentHigh @17 :UInt64;
  contentLow @18 :UInt64;
  workspace @19 :Text;
  workspacePriority @20 :UInt32;
  known @21 :BackendStatement;
}

struct Reply {
  sendId @0 :UInt64;
  outcome @1 :UInt8;
  reason @2 :UInt8;
  running @3 :UInt32;
  waiting @4 :UInt32;
  holdUs @5 :Int64;
  callsFailed @6 :Bool;
  status @7 :UInt16;
  headers @8 :List(Header);
  body @9 :Data;
  stated @10 :BackendStatement;
  startLimit @11 :StartLimit;
  loadReport @12 :LoadReport;
  lastSendId @13 :UInt64;  # received from the entry; 0: unknown
}

struct TableText {
  version @0 :UInt64;
  text @1 :Data;
}

# Use of the quotas of workspaces.
struct QuotaUse {
  scope @0 :UInt8;
  zone @1 :Text;
  sequence @2 :UInt64;
  entries @3 :List(Entry);

  struct Entry {
    workspace @0 :UInt64;  # hash of its name
    perSecond @1 :Float32;  # demand
    used @2 :Float32;  # requests within the quota's window
    lastPerSecond @3 :Float32;  # demand in the last slot of it
    usualPerSecond @4 :Float32;  # demand over some seconds
  }
}
