@0xd4a7e0b2c95f1683;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrass::wire::schema");

struct AdapterOnReplica {
  name @0 :Text;
  version @1 :UInt64;
}

# What the process beside a replica knows of it, pushed on changes and as a heartbeat.
struct ReplicaState {
  instance @0 :Text;
  # Whether the replica answers and holds its base model.
  usable @1 :Bool;
  resident @2 :List(AdapterOnReplica);
  # Ordered and not yet there.
  loading @3 :List(Text);
  running @4 :UInt32;
  queued @5 :UInt32;
  # Prompt tokens of granted requests that have not begun to answer, and of queued ones.
  tokensAhead @6 :UInt64;
  # Memory that running requests take, in tokens.
  memoryUsed @7 :UInt64;
  # Slots that are free or whose adapter nobody uses.
  spareSlots @8 :UInt32;
  # Highest configuration that any entry told of, and where to ask for it.
  configVersion @9 :UInt64;
  configHolder @10 :Text;
  # Adapters that wait for a slot.
  loadsWaiting @11 :UInt32;
  # Entries that are attached; they share budgets.
  entries @12 :UInt32;
  # Not told any more: `crashes` names the starts of replicas. Kept so that the fields behind it keep their numbers.
  suspects @13 :List(SuspectRequest);
  # Not told any more: entries count the loads that wait. Kept so that the fields behind it keep their numbers.
  loadMs @14 :UInt32;
  # Prompt tokens of requests that wait for an adapter.
  tokensWaiting @15 :UInt64;
  # Only the numbers were filled in: instance, adapters, configuration and crashes are as this session was last told.
  numbersOnly @16 :Bool;
  # Prompt tokens that the replica reads in a second, as measured.
  readRate @17 :UInt32;
  # Share of the last requests that failed or broke off, in thousandths.
  failures @18 :UInt16;
  # When the instance started, in Unix milliseconds: it may start again under its name. 0 where it has not said.
  birth @19 :UInt64;
  # Where the entry can be asked that reads the platform's store for the entries of the agent's zone; empty for none.
  reader @20 :Text;
  # Time until a request that arrives now may be sent under the replica's rate limit; 0 where there is none.
  permitWaitMs @21 :UInt32;
  # Rate limits of this replica and of those whose permits this agent keeps, also those that have ended.
  rateLimits @22 :List(RateLimitStatement);
  # The replica has said in an answer that it leaves.
  leaving @23 :Bool;
  # How much longer the replica wants nothing from the agent's host, for an entry on that host; 0 if it has not asked.
  hostRestMs @24 :UInt32;
  # Runs that ended without their answers, as entries told this agent.
  crashes @25 :List(RequestCrash);
  # The replica's last start before this one that this agent has seen, and how it ended; empty if it has seen none.
  lostInstance @26 :Text;
  lostBirth @27 :UInt64;
  # Whether that start is over. Otherwise it could not be reached any more.
  lostIsOver @28 :Bool;
  # Whole runs of what crashed runs held, as entries told this agent.
  wholeRuns @29 :List(WholeRun);
}

enum CrashEvidence {
  # The run broke off; its replica may have crashed.
  broke @0;
  crashed @1;
  # The request has run to its end elsewhere since.
  cleared @2;
}

# A run that ended without its answer.
struct RequestCrash {
  # Hash of the request's content and caller.
  request @0 :UInt64;
  # Hash of the start of the replica.
  start @1 :UInt64;
  # Breaks of the request at this start before.
  breaksBefore @2 :UInt8;
  evidence @3 :CrashEvidence;
  # How long ago the run ended, or the request was cleared.
  ageMs @4 :UInt32;
  # Hashes of what the run held that other requests hold too.
  shared @5 :List(UInt64);
  # Whether the run had brought events.
  begun @6 :Bool;
}

# The latest run of a request that held this, which crashed nothing.
struct WholeRun {
  held @0 :UInt64;
  # How long ago its answer began.
  ageMs @1 :UInt32;
}

# What an answer of a replica says about its rate limit.
struct RateLimitStatement {
  instance @0 :Text;
  # When the instance started, in Unix milliseconds; 0 if unknown.
  birth @1 :UInt64;
  # Whether the answer names a limit.
  limited @2 :Bool;
  # The requests per second that the replica accepts from all entries together.
  perSecond @3 :Float64;
  # How long ago the request of that answer was sent, and the answer arrived.
  requestedAgoMs @4 :UInt32;
  answeredAgoMs @5 :UInt32;
}

struct SuspectRequest {
  digest @0 :Text;
  breaks @1 :UInt32;
}

struct AdmitRequest {
  attempt @0 :Text;
  # Empty for the base model.
  adapter @1 :Text;
  # The lowest version that may run.
  version @2 :UInt64;
  promptTokens @3 :UInt64;
  # Not told any more: `shared` names each part. Kept so that the fields behind them keep their numbers.
  sharedTokens @4 :UInt64;
  sharedId @5 :UInt64;
  outputTokens @6 :UInt64;
  priority @7 :UInt32;
  # Time left until the first event is late, and until the caller is gone, in milliseconds.
  aimMs @8 :UInt32;
  leftMs @9 :UInt32;
  # The entry can ask another replica, should the request be late at this one.
  elsewhere @10 :Bool;
  # Of the prompt, the parts that other requests share, from the first up to each of them.
  shared @11 :List(SharedPrefix);
  # How long ago `version` was named at the most; the greatest number if that is not known.
  versionAgeMs @12 :UInt32 = 0xffffffff;
  # The request's route.
  requestClass @13 :Text;
  # The client's session, together with the adapter; 0 for none.
  session @14 :UInt64;
  # What the entry knows of the service of the request's keys.
  service @15 :List(KeyService);
  # The last part of the prompt that requests on the route share, whatever their adapter; 0 for none.
  sharedPart @16 :UInt64;
}

enum ServiceKeyKind {
  route @0;
  adapter @1;
  # Its name is the last shared part, whatever comes before it.
  prefix @2;
  session @3;
}

# What a request shares with others; the name of a prefix or session begins with its route.
struct ServiceKey {
  kind @0 :ServiceKeyKind;
  name @1 :Text;
}

# The requests with a key that an entry has not served since it last served one.
struct KeyService {
  kind @0 :ServiceKeyKind;
  requests @1 :UInt32;
  # How long ago the first and the last of them ended.
  firstAgoMs @2 :UInt32;
  lastAgoMs @3 :UInt32;
  # How long ago one was served; the greatest number if none was lately.
  servedAgoMs @4 :UInt32 = 0xffffffff;
}

# `id` names the first parts of a prompt together with the adapter, `tokens` counts them.
struct SharedPrefix {
  id @0 :UInt64;
  tokens @1 :UInt64;
}

# How a request ended at the replica.
enum RunEnd {
  # It answered, or nothing can be said.
  plain @0;
  # It answered with a failure of its own.
  failed @1;
  # It broke off, or kept silent, before its first event.
  broke @2;
}

struct AdmitAnswer {
  granted @0 :Bool;
  # The version that the replica holds; to be expected from it.
  version @1 :UInt64;
  # When another try could succeed; set when not granted.
  retryAfterMs @2 :UInt32;
  reason @3 :Text;
  instance @4 :Text;
  # How the replica stands with this answer; only the numbers.
  state @5 :ReplicaState;
  # Not granted only because it would be late here and may go elsewhere; `retryAfterMs` is when it would begin.
  late @6 :Bool;
  # The newest version of the request's adapter that any entry has told this agent of; 0 for none. How long ago it was
  # named at the most; the greatest number if that is not known.
  namedVersion @7 :UInt64;
  namedAgeMs @8 :UInt32 = 0xffffffff;
}

# At which software version a stream began.
struct StreamOrigin {
  # Whose stream it is; empty where no key is asked for.
  member @0 :Text;
  # The client's attempt that brought the first event.
  attempt @1 :Text;
  service @2 :Text;
  software @3 :Text;
  # For how much longer a client may resume the stream.
  keepMs @4 :UInt32;
  # How long ago it was noted where it is known.
  ageMs @5 :UInt32;
}

# A request that runs on the replica under a grant that an earlier process gave, or that nobody gave.
struct RunningRequest {
  attempt @0 :Text;
  adapter @1 :Text;
  promptTokens @2 :UInt64;
  outputTokens @3 :UInt64;
  # Set once the request's stream has begun.
  origin @4 :StreamOrigin;
}

# What a request counts against its member's quota, and that quota as the entry knows it.
struct QuotaCharge {
  member @0 :Text;
  # Less than 0 where something is given back.
  amount @1 :Float64;
  configVersion @2 :UInt64;
  ratePerSecond @3 :Float64;
  burst @4 :Float64;
  lenience @5 :Float64;
}

struct EngineLimits {
  service @0 :Text;
  batch @1 :UInt32;
  memory @2 :UInt64;
  adapterSlots @3 :UInt32;
  baseModel @4 :Text;
  # Where the replica answers a health check, and names its instance.
  healthPath @5 :Text;
}

# Offered by an entry to the processes beside replicas.
interface ReplicaListener {
  changed @0 (state :ReplicaState);
  # Whether the entry knows at which software version this stream began.
  findStreamOrigin @1 (member :Text, attempt :Text) -> (known :Bool, origin :StreamOrigin);
}

interface AgentSession {
  # Answered when the request may be sent to the replica, or when it is known that it cannot be in time. Dropping the
  # call takes the request out of the queue.
  admit @0 (request :AdmitRequest) -> (answer :AdmitAnswer);
  # The first event came: the prompt has been read.
  # `origin` tells where the request's stream began, if it may continue elsewhere.
  started @1 (attempt :Text, origin :StreamOrigin);
  # The request is over at the replica, or was never sent.
  # `unsent`: granted and not sent after all, so that its permit and its place go to another one.
  release @2 (attempt :Text, end :RunEnd, unsent :Bool);
  # This entry is at this configuration; `limits` are its figures for the replica's service. `readerWeight` is its
  # preference as the zone's reader: the entry with the greatest reads the store; 0 while the store does not serve it.
  # `retryShares`: how many shares of each service's retry reserve the entry takes this agent to keep.
  configured @3 (version :UInt64, holder :Text, limits :List(EngineLimits), readerWeight :Float64, retryShares :UInt8);
  # Obsolete, no longer implemented; replaced by `noteCrashes`. Kept to preserve method ordinals.
  suspect @4 (digest :Text, broke :Bool);
  # Counts a request against its member's quota, if there is credit. `level` is what is left.
  takeQuota @5 (charge :QuotaCharge) -> (granted :Bool, retryAfterMs :UInt32, level :Float64);
  # The same was granted by another agent, which had `level` left; or is given back.
  noteQuota @6 (charge :QuotaCharge, level :Float64);
  # An answer named a rate limit, or showed that one has ended: of this agent's replica if `own`, otherwise of another
  # one, whose permits this agent keeps.
  noteRateLimit @7 (statement :RateLimitStatement, own :Bool);
  # Asks for a permit to send a request to another replica. `standIn` if the process that should keep its permits cannot
  # be reached.
  takePermit @8 (statement :RateLimitStatement, priority :UInt32, standIn :Bool) -> (granted :Bool, askAgainAfterMs :UInt32);
  # An answer of this agent's replica said that this start of it leaves.
  noteLeaving @9 (instance :Text, birth :UInt64);
  # The request for which this permit was granted is not sent after all.
  returnPermit @10 (statement :RateLimitStatement, standIn :Bool);
  # This start of the agent's replica wants nothing from this host for so long. Sent by an entry on the agent's host.
  noteHostRest @11 (instance :Text, birth :UInt64, restMs :UInt32);
  # Whether this process knows at which software version a stream began, or one of the attached entries does, if they
  # are to be asked.
  findStreamOrigin @12 (member :Text, attempt :Text, askEntries :Bool) -> (known :Bool, origin :StreamOrigin);
  # Asks for a retry from the shares of the service's reserve that this agent keeps. `perShare` retries are allowed in a
  # window; within `handoverMs` all entries know that another agent keeps a share. `retries` were granted in the last
  # window and `allowed` in all; if this one is not, another can be after `spentForMs`.
  takeRetry @13 (service :Text, perShare :Float64, windowMs :UInt32, handoverMs :UInt32)
      -> (granted :Bool, retries :UInt32, allowed :Float64, spentForMs :UInt32);
  # Runs that ended without their answers, and whole runs of what those held, to be kept and published.
  noteCrashes @14 (crashes :List(RequestCrash), wholeRuns :List(WholeRun));
  # Asks to send one run of what all entries refuse, to learn whether it still crashes replicas.
  takeProbe @15 (key :UInt64) -> (granted :Bool);
  # A request with these keys ended, served or not. This agent keeps what all entries tell of them.
  noteService @16 (keys :List(ServiceKey), served :Bool);
  # What entries have told of these keys.
  findService @17 (keys :List(ServiceKey)) -> (service :List(KeyService));
}

# The bootstrap of the process beside a replica.
interface Agent {
  # `zone` is the entry's availability zone: those of other zones are told less often.
  attach @0 (entry :Text, listener :ReplicaListener, running :List(RunningRequest), zone :Text)
      -> (session :AgentSession);
}

# A replica's row in the platform's list.
struct ListedReplica {
  instance @0 :Text;
  # The row's value as read from the store; it may not be parseable.
  entry @1 :Data;
  # The row's version in the store.
  version @2 :UInt64;
}

# The changes of the platform's list since the version that the caller named.
struct ListChanges {
  # Contains every change up to this version of the store and none after `newest`; 0 while the list is unknown.
  version @0 :UInt64;
  newest @1 :UInt64;
  # Whether `listed` is the whole list, so that a replica missing from it has been removed.
  whole @2 :Bool;
  listed @3 :List(ListedReplica);
  removed @4 :List(Text);
  # How long ago the list was read from the store.
  ageMs @5 :UInt32 = 0xffffffff;
}

# The bootstrap of an entry, for other entries of its zone and for those that cannot read the platform's store.
interface EntryPeer {
  # Obsolete, no longer implemented; replaced by `changes`. Kept to preserve method ordinals.
  snapshot @0 (haveConfig :UInt64, haveList :UInt64, haveVersions :UInt64)
      -> (config :Text, replicas :Text, adapterVersions :Text, listAgeMs :UInt32 = 0xffffffff, list :UInt64,
          versions :UInt64, configAgeMs :UInt32 = 0xffffffff);
  # Returns what is newer than the caller's state: the configuration's text, the changes of the list of replicas after
  # the store's version `haveList`, and the versions of adapters.
  # `configAgeMs` is how long ago the answering entry's configuration was last known to be the newest. `versions`
  # identifies `adapterVersions`; passed back as `haveVersions`, it omits unchanged text.
  changes @1 (haveConfig :UInt64, haveList :UInt64, haveVersions :UInt64)
      -> (config :Text, list :ListChanges, adapterVersions :Text, versions :UInt64,
          configAgeMs :UInt32 = 0xffffffff);
}
