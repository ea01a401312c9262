#pragma once

#include "standins/JsonAnswer.h"
#include "wire/HttpClient.h"
#include "wire/MainLoop.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::standins {

/// The text that an engine answers: a function of model and prompt, so that a test knows a right and whole answer.
[[nodiscard]] auto expectedToken(const std::string& model, const std::string& prompt, std::size_t index) -> std::string;

/// Takes a model engine's place: batches continuously, holds few adapters, streams, resumes and cancels.
///
/// A prompt that contains `crash-the-engine` ends the process when its first step runs.
///
/// Each start, and each refused unload of an adapter in use, is logged before it takes effect, so that a test's record
/// outlives a killed engine. Faults are set through `POST /standin/faults`, see `Faults`.
class EngineStandin {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::string platform;
        std::size_t slots = 4;
        std::size_t batch = 8;
        Duration step = 5ms;
        bool honoursFence = true;
        /// Version of its software; empty if it names none.
        std::string software = "1.0";
        /// Ends the process when it runs a model whose name begins so; none if empty.
        std::string crashModel {};
    };

    EngineStandin(wire::MainLoop& loop, Options options);
    ~EngineStandin();

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return server_.port(); }

private:
    struct Sequence {
        std::string id;
        std::string model;
        std::string prompt;
        std::size_t limit = 0;
        std::size_t produced = 0;
        int priority = 0;
        bool cancelled = false;
        /// Claims to come from another model.
        bool misnamed = false;
        wire::HttpExchangePtr exchange;
    };
    using SequencePtr = std::shared_ptr<Sequence>;
    /// What the engine does wrong; counts say how many more times.
    struct Faults {
        /// Loads that are refused.
        int failLoads = 0;
        /// Orders and completions that take effect while their answers get lost.
        int loseAnswers = 0;
        /// Completions whose connection stays open and silent for good; the stream can still be resumed.
        int hang = 0;
        /// Answers that name another model than the one that ran.
        int wrongName = 0;
        /// Every so many-th cache event is never published; 0 for none.
        int dropEvery = 0;
        /// Age at which cache events and load reports are published.
        Duration reportLag {};
    };
    struct CacheEvent {
        Moment at;
        std::uint64_t number = 0;
        std::string model;
        std::string prompt;
    };
    struct LoadReport {
        Moment at;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    auto handle(const wire::HttpExchangePtr& exchange) -> void;
    auto complete(const wire::HttpExchangePtr& exchange) -> void;
    auto loadAdapter(const wire::HttpExchangePtr& exchange) -> void;
    auto loaded(const wire::HttpExchangePtr& exchange, const std::string& model, const wire::HttpResponse& got) -> void;
    auto unloadAdapter(const wire::HttpExchangePtr& exchange) -> void;
    auto streams(const wire::HttpExchangePtr& exchange) -> void;
    auto models(const wire::HttpExchangePtr& exchange) -> void;
    auto control(const wire::HttpExchangePtr& exchange) -> void;
    auto playFaults(const Json& body) -> void;
    auto cacheEvents(const wire::HttpExchangePtr& exchange) -> void;
    auto loadReport(const wire::HttpExchangePtr& exchange) -> void;
    auto publish(const Sequence& sequence) -> void;
    auto noteLoad() -> void;
    /// Answers an order, unless the answer is to be lost.
    auto ordered(const wire::HttpExchangePtr& exchange, int status, const Json& body) -> void;
    static auto spend(int& count) -> bool;
    auto fenced(const wire::HttpExchangePtr& exchange, const Json& body) -> bool;
    auto attach(const SequencePtr& sequence, const wire::HttpExchangePtr& exchange, std::size_t from) -> void;
    [[nodiscard]] auto event(const Sequence& sequence, std::size_t index) const -> std::string;
    auto step() -> void;
    auto advance(Sequence& sequence) -> void;
    auto retire(const SequencePtr& sequence) -> void;

    wire::MainLoop& loop_;
    Options options_;
    wire::HttpClient client_;
    std::string incarnation_;
    std::set<std::string> adapters_;
    std::set<std::string> loading_;
    std::uint64_t fence_ = 0;
    std::deque<SequencePtr> waiting_;
    std::vector<SequencePtr> running_;
    std::map<std::string, SequencePtr> known_;
    std::deque<std::string> finished_;
    /// What was started, in order, for tests: id, model.
    Json started_ = Json::array();
    std::uint64_t steps_ = 0;
    std::uint64_t filled_ = 0;
    Faults faults_;
    std::deque<CacheEvent> events_;
    std::uint64_t eventCount_ = 0;
    std::deque<LoadReport> loads_;
    Timer stepTimer_;
    wire::HttpServer server_;
};

} // namespace eelgrass::standins
