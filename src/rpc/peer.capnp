@0xb4e5a7c1d2f39061;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujubefront::wire");

struct Addressee {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Key {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Context {
  key @0 :Key;
  rootKey @1 :Key;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  className @5 :Text;
  customer @6 :Text;
  tier @7 :UInt8;
  idempotent @8 :Bool;
  sendKind @9 :UInt8;
  credit @10 :UInt32;
  depth @11 :UInt32;
  charges @12 :UInt32;
}

struct Answer {
  verdict @0 :UInt8;
  reason @1 :UInt8;
  httpStatus @2 :UInt16;
  contentType @3 :Text;
  body @4 :Data;
  bodyHash @5 :UInt64;
  bodyLength @6 :UInt64;
  creditLeft @7 :UInt32;
  charges @8 :UInt32;
  level @9 :UInt16;
  retryAfterUs @10 :Int64;
  ticket @11 :Text;
  servedBy @12 :Text;
  sealed @13 :Bool;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  tableKept @3 :Bool;
  servingSinceUs @4 :Int64;
  memoryLostBeforeUs @5 :Int64;
  zone @6 :Text;
  region @7 :Text;
  service @8 :Text;
  rpcAddress @9 :Text;
}

struct Charge {
  key @0 :Key;
  charges @1 :UInt32;
}

struct SectionInForce {
  name @0 :Text;
  version @1 :Int64;
  recordId @2 :Text;
  text @3 :Text;
}

struct Document {
  asOf @0 :Int64;
  sections @1 :List(SectionInForce);
}

struct RunRequest {
  to @0 :Addressee;
  context @1 :Context;
  remainingUs @2 :Int64;
  body @3 :Data;
}

struct AskRequest {
  to @0 :Addressee;
  key @1 :Key;
  service @2 :Text;
  asHome @3 :Bool;
}

struct AskReply {
  verdict @0 :UInt8;
  answer @1 :Answer;
  members @2 :List(Member);
}

struct Exchange {
  from @0 :Text;
  digest @1 :UInt64;
  applied @2 :Int64;
  members @3 :List(Member);
  charges @4 :List(Charge);
  document @5 :Document;
  established @6 :Bool;
}

struct Record {
  key @0 :Key;
  answer @1 :Answer;
}

struct HandOverRequest {
  to @0 :Addressee;
  from @1 :Text;
  records @2 :List(Record);
}

struct Message {
  union {
    runRequest @0 :RunRequest;
    runReply @1 :Answer;
    askRequest @2 :AskRequest;
    askReply @3 :AskReply;
    exchange @4 :Exchange;
    joinRequest @5 :Member;
    joinReply @6 :List(Member);
    handOverRequest @7 :HandOverRequest;
    handOverReply @8 :UInt64;
    refusal @9 :UInt8;
  }
}

interface Peer {
  deliver @0 (request :Message) -> (reply :Message);
}
