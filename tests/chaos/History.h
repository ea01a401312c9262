#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::chaos {

/// What one caller asked for and what it saw.
struct CallRecord {
    enum class Kind { Completion, Echo, Lookup };

    std::uint64_t number = 0;
    Kind kind = Kind::Completion;
    std::string entry;
    /// Counts the processes that ran under the entry's name.
    int entryLife = 0;
    /// `adapter` or `adapter@version`; empty for a service.
    std::string model;
    /// Unique to the caller's question; a re-send under the same key carries the same one.
    std::string prompt;
    std::size_t tokens = 0;
    bool stream = false;
    bool neverRepeat = false;
    /// The member is not allowed what it asks for.
    bool trespass = false;

    Moment sent {};
    Moment ended {};
    int status = 0;
    std::string requestId;
    std::string adapter;
    std::string version;
    std::string body;
    /// The connection broke before the end of the answer.
    bool broken = false;
    /// The caller gave up: nothing ended the answer within its patience.
    bool silent = false;
    /// The caller hung up on purpose.
    bool hungUp = false;
};

/// One start of work at an engine or service.
struct RunRecord {
    std::string where;
    std::string attempt;
    std::string model;
    std::string prompt;
    Moment at {};
};

/// A patch and what its operator was told.
struct PatchRecord {
    std::string adapter;
    std::uint64_t adapterVersion = 0;
    std::string digest;
    std::uint64_t base = 0;
    Moment ended {};
    /// The version it was accepted as.
    std::optional<std::uint64_t> accepted;
    /// The answer was lost: it may have been accepted.
    bool unknown = false;
};

/// What an entry said of its configuration.
struct StatusRecord {
    std::string entry;
    int entryLife = 0;
    Moment sent {};
    Moment ended {};
    std::uint64_t version = 0;
    bool ready = false;
};

/// A planned stop, from SIGTERM to the process's end.
struct StopRecord {
    std::string process;
    Moment asked {};
    Moment ended {};
    int exitCode = 0;
    /// The process was killed or frozen by another fault while it stopped.
    bool disturbed = false;
};

/// A time in which a fault was played, on one process or on the platform.
struct FaultRecord {
    std::string kind;
    std::string victim;
    Moment from {};
    Moment until {};
};

/// Everything that callers, operators, engines and services saw in one run.
struct History {
    std::vector<CallRecord> calls;
    std::vector<RunRecord> runs;
    std::vector<PatchRecord> patches;
    std::vector<StatusRecord> statuses;
    std::vector<StopRecord> stops;
    std::vector<FaultRecord> faults;
    /// Processes of the system that ended though nobody ended them.
    std::vector<std::string> crashes;
    /// Unloads of an adapter in use, which an engine had to refuse.
    std::vector<std::string> unloadsInUse;
    /// Entries that did not serve again after everything was mended.
    std::vector<std::string> notRecovered;
    /// Only planned stops and patches were played: no call may suffer.
    bool plannedOnly = false;
    /// The configuration at the end, per entry: adapter, version, digest.
    std::map<std::string, std::map<std::string, std::map<std::string, std::string>>> finalVersions;
    /// The digest that each version of each adapter stands for.
    std::map<std::string, std::map<std::string, std::string>> digests;
};

} // namespace eelgrass::chaos
