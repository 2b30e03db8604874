# Messages between entry instances. Field numbers must not be reused. A receiver answers
# `unsupported` to a message of a kind that it does not know.
@0xd3b1f6a2c4e58907;

struct Frame {
  id @0 :UInt64;
  version @1 :UInt16;
  union {
    hello @2 :Hello;
    status @3 :Status;
    statusAnswer @4 :StatusAnswer;
    withdraw @5 :Withdraw;
    runRequest @6 :RunRequest;
    runAnswer @7 :RunAnswer;
    operation @8 :Operation;
    operationAnswer @9 :OperationAnswer;
    refusal @10 :Refusal;
    unsupported @11 :Void;
    askLimit @12 :AskLimit;
    goodbye @13 :Goodbye;
    acknowledged @14 :Void;
    fetchConfiguration @15 :Void;
    configuration @16 :Data;
    news @17 :Void;
  }
}

struct Hello { instance @0 :Text; incarnation @1 :Text; zone @2 :Text; }

struct Status { instance @0 :Text; incarnation @1 :Text; }

struct StatusAnswer {
  instance @0 :Text;
  incarnation @1 :Text;
  logAgeS @2 :Float64;
  configurationAt @3 :Int64;
  rosterAt @4 :Int64;
  pending @5 :List(Text);
  vouches @6 :Bool;
}

struct Withdraw { keyId @0 :Text; }

struct RunRequest {
  partition @0 :Text;
  requestId @1 :Text;
  team @2 :Text;
  body @3 :Data;
  deadlineS @4 :Float64;
  repeatable @5 :Bool;
  idempotencyKey @6 :Text;
}

struct RunAnswer { body @0 :Data; }

struct Operation {
  partition @0 :Text;
  name @1 :Text;
  team @2 :Text;
  subject @3 :Text;
  body @4 :Text;
}

struct OperationAnswer { body @0 :Text; }

struct Refusal {
  code @0 :Text;
  detail @1 :Text;
  ran @2 :Text;
  retryAfterS @3 :Float64;
}

struct AskLimit {
  source @0 :Text;
  destination @1 :Text;
  team @2 :Text;
  amount @3 :List(Int64);
  waitedS @4 :Float64;
}

struct Goodbye { instance @0 :Text; incarnation @1 :Text; }
