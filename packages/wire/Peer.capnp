@0xb1f0c3a5d27e9481;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrass::wire::schema");

# What an unauthenticated peer may do: prove that it holds the shared secret.
interface Door {
  # Both sides give a nonce; the door proves itself first.
  challenge @0 (callerNonce :Data) -> (doorNonce :Data, doorProof :Data);
  enter @1 (callerProof :Data, callerName :Text, listener :EntryListener) -> (session :TargetSession);
}

# What an entry offers to the target processes it holds a session with.
interface EntryListener {
  # Pushed on a change, never on a timer.
  targetChanged @0 (state :TargetState) -> ();
  # Answered by a session that is alive: asked after a pause, before orders that lay in the socket are carried out.
  ping @1 () -> ();
  # A target process asks for its turn to load from the weight store. Answered when the turn comes, or without one when
  # the same target asks again. `weight` and `waitedMs` describe the requests that wait for the load.
  loadTurn @2 (target :Text, weight :Float64, waitedMs :UInt32) -> (granted :Bool);
  # The load of a granted turn ended.
  loadDone @3 (target :Text) -> ();
}

struct TargetState {
  target @0 :Text;
  epoch @1 :UInt64;
  leaving @2 :Bool;
  queued @3 :UInt32;
  running @4 :UInt32;
  residentAdapters @5 :List(Text);
  configVersion @6 :UInt64;
  slots @7 :UInt32;
  batchLimit @8 :UInt32;
  engineAlive @9 :Bool;
  # Not told any more: `engineCrashes` has the same by starts of the engine. Kept so that the fields behind it keep their
  # numbers.
  suspects @10 :List(Suspect);
  # Requests that wait for a load, and the adapters that they wait for.
  awaitingLoad @11 :UInt32;
  loadsWaiting @12 :UInt32;
  # Demand for the adapter that the next load would push out.
  evictionCost @13 :Float64;
  # Mean time between two places of the full batch becoming free, in microseconds.
  placeTimeUs @14 :UInt32;
  # Version of the engine's software; empty if it names none.
  engineSoftware @15 :Text;
  # Requests that were running when the engine died.
  engineCrashes @16 :List(EngineCrash);
}

# The end of one start of an engine while it ran a request.
struct EngineCrash {
  # Hashes of the request's digest and of the name of its weights; 0 for a request without any.
  request @0 :UInt64;
  weights @1 :UInt64;
  engineStart @2 :UInt64;
  # Crashes that were counted for the request at this start before.
  before @3 :UInt8;
  ageMs @4 :UInt32;
}

struct Suspect {
  digest @0 :Text;
  crashes @1 :UInt32;
}

struct StartRequest {
  attempt @0 :Text;
  requestId @1 :Text;
  member @2 :Text;
  # Qualified name, `adapter@version#digest`; empty for a plain service.
  model @3 :Text;
  requestClass @4 :Text;
  # Time left for the caller when this was sent, in milliseconds; 0 for none.
  deadlineMs @5 :UInt32;
  neverRepeat @6 :Bool;
  targetEpoch @7 :UInt64;
  kind @8 :Kind;
  # JSON body for an engine, raw body for a service.
  body @9 :Data;
  method @10 :Text;
  path @11 :Text;
  contentType @12 :Text;
  configVersion @13 :UInt64;
  # Digest of member, adapter and body, by which a request that crashes targets is known.
  digest @14 :Text;
  # Tokens of the answer that the caller has already from an attempt whose engine died, and their text.
  skipTokens @15 :UInt32;
  givenText @16 :Text;
  # How many engines died while they ran this digest; above 0 it runs alone.
  crashes @17 :UInt32;
  # Version of the engine's software that wrote the given text. No other version may continue it.
  software @18 :Text;

  enum Kind {
    completion @0;
    chat @1;
    service @2;
  }
}

struct Refusal {
  status @0 :UInt16;
  type @1 :Text;
  message @2 :Text;
  step @3 :Text;
  peer @4 :Text;
  run @5 :RunState;
  retryAfterMs @6 :UInt32;
}

enum RunState {
  notRun @0;
  unknown @1;
  partial @2;
}

struct AnswerEnd {
  finishReason @0 :Text;
  promptTokens @1 :UInt32;
  completionTokens @2 :UInt32;
  # Set when the answer broke off or never began.
  refusal @3 :Refusal;
  failed @4 :Bool;
  # Time the request waited for its adapter, in microseconds.
  loadStallUs @5 :UInt64;
  queueWaitUs @6 :UInt64;
  # The start of the engine that ran the request.
  engineStart @7 :UInt64;
}

# Where a target process sends the answer of one attempt. The return of `chunk` is its acknowledgement.
interface ChunkSink {
  # `tokens` counts engine tokens in `data`; status and content type are set on the first chunk of a service's answer,
  # `software` on the first chunk of an engine's.
  chunk @0 (number :UInt64, data :Data, tokens :UInt32, status :UInt16, contentType :Text, software :Text) -> ();
  end @1 (number :UInt64, end :AnswerEnd) -> ();
  # The attempt moved from the queue to a load or to the engine.
  progress @2 (note :Text) -> ();
}

interface TargetSession {
  heartbeat @0 (configVersion :UInt64) -> (state :TargetState);
  start @1 (request :StartRequest, sink :ChunkSink) -> (accepted :Bool, refusal :Refusal, state :TargetState);
  # `nextToken` and `model` let a target process that started anew find the stream at its engine.
  resume @2 (attempt :Text, nextChunk :UInt64, sink :ChunkSink, nextToken :UInt32, model :Text) -> (known :Bool);
  # After `revoked` the attempt has not started and never will. If it is `known` it can be resumed from its beginning.
  revoke @3 (attempt :Text) -> (revoked :Bool, known :Bool);
  cancel @4 (attempt :Text) -> ();
  # The ledger has the answer; the target process need not keep it.
  release @5 (attempt :Text) -> ();
}
