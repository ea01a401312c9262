// A model replica as the pages describe it: adapters in slots, orders under a fencing token, requests as streams.
#pragma once

#include "World.h"

#include <list>

namespace review {

class Engine {
public:
    /// A request that began to run.
    struct Run {
        std::string attempt;
        std::string adapter;
        std::uint64_t version = 0;
        Clock::time_point at;
    };
    struct Options {
        std::string model = "daka510000";
        std::size_t slots = 7;
        milliseconds loadTime { 250 };
        /// Prompt tokens that are read in a millisecond, one prompt after the other.
        double readRate = 44.2;
        milliseconds gap { 20 };
        int events = 3;
    };

    Engine(std::string instance, const char* address, Options options)
        : instance_(std::move(instance))
        , address_(address)
        , options_(std::move(options))
        , listener_(listenOn(0, 0, 0, address))
        , port_(portOf(listener_.fd()))
    {
        std::thread([this] {
            for (;;) {
                auto socket = acceptFrom(listener_);
                if (!socket.valid())
                    return;
                std::thread([this, socket = std::move(socket)]() mutable { serve(std::move(socket)); }).detach();
            }
        }).detach();
    }

    std::uint16_t port() const { return port_; }
    const std::string& address() const { return address_; }
    const std::string& instance() const { return instance_; }

    /// The replica's row in the platform's list.
    std::string row(std::uint64_t beat)
    {
        const auto lock = std::lock_guard(mutex_);
        settle();
        return nlohmann::json {
            { "service", "redacteur" }, { "address", address_ + ":" + std::to_string(port_) }, { "zone", "brest-a" },
            { "version", "v1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "phase", "both" },
            { "models", models() }, { "sequence", beat }
        }.dump();
    }
    std::vector<Run> runs()
    {
        const auto lock = std::lock_guard(mutex_);
        return runs_;
    }
    std::size_t orders()
    {
        const auto lock = std::lock_guard(mutex_);
        return orders_;
    }
    std::size_t held()
    {
        const auto lock = std::lock_guard(mutex_);
        settle();
        return adapters_.size();
    }
    /// Whether it was ordered to load more than its slots hold.
    bool overfilled()
    {
        const auto lock = std::lock_guard(mutex_);
        return overfilled_;
    }

private:
    using Json = nlohmann::json;

    /// Carries out what is due: loads that have taken their time, and unloads whose runs have ended.
    void settle()
    {
        const auto now = Clock::now();
        for (auto coming = coming_.begin(); coming != coming_.end();) {
            if (coming->second > now) {
                ++coming;
                continue;
            }
            adapters_[coming->first] = 1;
            coming = coming_.erase(coming);
        }
        for (auto leaving = leaving_.begin(); leaving != leaving_.end();) {
            if (running_[*leaving] > 0) {
                ++leaving;
                continue;
            }
            adapters_.erase(*leaving);
            leaving = leaving_.erase(leaving);
        }
    }
    Json models() const
    {
        auto names = Json::array();
        for (const auto& [name, version] : adapters_)
            names.push_back(name + "@" + std::to_string(version));
        return Json::array({ { { "name", options_.model }, { "version", 1 }, { "adapters", names } } });
    }

    void serve(Socket socket)
    {
        auto input = std::string();
        auto request = Message();
        while (readRequest(socket.fd(), input, request)) {
            if (!answer(socket, request))
                return;
            request = Message();
        }
    }

    bool answer(const Socket& socket, const Message& request)
    {
        const auto own = "X-Eelgrassrouter-Instance-Id: " + instance_ + "\r\n";
        const auto expected = request.field("X-Eelgrassrouter-Expect-Instance");
        if (!expected.empty() && expected != instance_)
            return sendAll(socket.fd(), responseText(421, own, ""));
        if (request.path() == "/health")
            return sendAll(socket.fd(), responseText(200, own, ""));
        if (request.path() == "/report")
            return sendAll(socket.fd(), responseText(200, "Content-Type: application/json\r\n", report()));
        if (request.path() == "/order")
            return sendAll(socket.fd(), responseText(order(request.body), "", ""));
        return run(socket, request, own);
    }

    std::string report()
    {
        const auto lock = std::lock_guard(mutex_);
        settle();
        auto coming = Json::array();
        for (const auto& [name, at] : coming_)
            coming.push_back(options_.model + "/" + name + "@1");
        auto running = 0;
        for (const auto& [name, count] : running_)
            running += count;
        return Json {
            { "phase", "both" }, { "models", models() }, { "busy", false }, { "sequence", sequence_ }, { "queued", 0 },
            { "running", running }, { "kvUsed", 0 }, { "kvTotal", 254344 }, { "handles", 0 }, { "coming", coming }
        }.dump();
    }

    int order(const std::string& body)
    {
        const auto json = Json::parse(body, nullptr, false);
        const auto lock = std::lock_guard(mutex_);
        settle();
        if (!json.is_object() || !json.contains("holder") || !json.contains("fencingToken"))
            return 400;
        const auto fence = json.at("fencingToken").get<std::uint64_t>();
        if (fence < fence_)
            return 412;
        fence_ = fence;
        if (json.contains("precondition") && json.at("precondition").get<std::uint64_t>() != sequence_)
            return 409;
        const auto adapter = json.value("adapter", std::string());
        const auto unload = json.value("operation", std::string()) == "unload";
        if (adapter.empty())
            return unload ? 400 : 200;
        ++orders_;
        if (unload) {
            if (adapters_.count(adapter) == 0)
                return 200;
            ++sequence_;
            leaving_.push_back(adapter);
            settle();
            return running_[adapter] > 0 ? 202 : 200;
        }
        if (adapters_.count(adapter) > 0 || coming_.count(adapter) > 0)
            return 200;
        if (adapters_.size() + coming_.size() >= options_.slots) {
            overfilled_ = true;
            return 400;
        }
        ++sequence_;
        coming_[adapter] = Clock::now() + options_.loadTime;
        return 202;
    }

    bool run(const Socket& socket, const Message& request, const std::string& own)
    {
        const auto model = request.field("X-Eelgrassrouter-Model");
        const auto slash = model.find('/');
        const auto adapter = slash == std::string::npos ? std::string() : model.substr(slash + 1);
        const auto attempt = request.field("X-Eelgrassrouter-Attempt-Id");
        const auto echo = "X-Eelgrassrouter-Attempt-Id: " + attempt + "\r\n";
        auto version = std::uint64_t(1);
        auto start = Clock::now();
        {
            const auto lock = std::lock_guard(mutex_);
            settle();
            if (!adapter.empty()) {
                const auto found = adapters_.find(adapter);
                const auto named = request.field("X-Eelgrassrouter-Expect-Version");
                if (found == adapters_.end() || (!named.empty() && named != std::to_string(found->second)))
                    return sendAll(socket.fd(), responseText(421, echo + own, ""));
                version = found->second;
                if (std::find(leaving_.begin(), leaving_.end(), adapter) != leaving_.end())
                    return sendAll(socket.fd(), responseText(503, echo + "X-Eelgrassrouter-Not-Run: 1\r\n", ""));
            }
            ++running_[adapter];
            start = readingEnd(request, adapter);
        }
        const auto whole = stream(socket, attempt, adapter, version, echo, start);
        const auto lock = std::lock_guard(mutex_);
        --running_[adapter];
        settle();
        return whole;
    }

    /// When the request's prompt has been read, behind the prompts before it. The first part is read once an adapter.
    Clock::time_point readingEnd(const Message& request, const std::string& adapter)
    {
        auto tokens = 0.0;
        const auto parts = request.field("X-Eelgrassrouter-Prompt-Prefix");
        for (auto at = std::size_t(0); at < parts.size();) {
            const auto end = std::min(parts.find(',', at), parts.size());
            const auto part = parts.substr(at, end - at);
            if (read_.insert(adapter + " " + part).second)
                tokens += std::atof(part.substr(part.find(':') + 1).c_str());
            at = end + 1;
        }
        const auto time = std::chrono::duration<double, std::milli>(tokens / options_.readRate);
        readUntil_ = std::max(readUntil_, Clock::now()) + std::chrono::duration_cast<Clock::duration>(time);
        return readUntil_;
    }

    bool stream(const Socket& socket, const std::string& attempt, const std::string& adapter, std::uint64_t version,
        const std::string& echo, Clock::time_point start)
    {
        std::this_thread::sleep_until(start);
        {
            const auto lock = std::lock_guard(mutex_);
            runs_.push_back({ attempt, adapter, version, Clock::now() });
        }
        if (!sendAll(socket.fd(),
                "HTTP/1.1 200 OK\r\n" + echo + "X-Eelgrassrouter-Server-Seal: seal-" + instance_
                    + "\r\nX-Eelgrassrouter-Weight-Versions: " + std::to_string(version)
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (auto number = 1; number <= options_.events; ++number) {
            const auto event
                = "id: " + std::to_string(number) + "\ndata: " + adapter + " " + std::to_string(number) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!sendAll(socket.fd(), size + event + "\r\n"))
                return false;
            std::this_thread::sleep_for(options_.gap);
        }
        return sendAll(socket.fd(), "0\r\n\r\n");
    }

    std::string instance_;
    std::string address_;
    Options options_;
    Socket listener_;
    std::uint16_t port_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> adapters_;
    std::map<std::string, Clock::time_point> coming_;
    std::list<std::string> leaving_;
    std::map<std::string, int> running_;
    /// Parts of prompts that are kept, with their adapter.
    std::set<std::string> read_;
    Clock::time_point readUntil_ {};
    std::vector<Run> runs_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::size_t orders_ = 0;
    bool overfilled_ = false;
};

inline nlohmann::json engineServiceJson(const std::string& name, std::size_t slots)
{
    return { { "name", name }, { "healthPath", "/health" }, { "maxConns", 370 }, { "protocol", "h1" }, { "tls", false },
        { "engine",
            { { "slots", 64 }, { "kvCapacity", 254344 },
                { "models",
                    { { { "name", "daka510000" }, { "weightsMb", 65100.0 }, { "loadTimeS", 0.6 }, { "adapters", 3000 },
                        { "adapterSizeMb", 12.0 } } } },
                { "weightsMb", 66500.0 }, { "adapterSlots", slots }, { "loadsPerS", 2.1 } } } };
}

/// Starts the agent beside an engine with the command of the deploy file and the settings that its template makes.
inline std::unique_ptr<Process> startAgent(const Folder& folder, const Store& store, const std::string& name,
    const std::string& address, std::uint16_t enginePort, std::uint16_t agentPort, bool firstStart = true)
{
    const auto file = folder.file(name + ".yaml");
    std::ofstream(file) << "name: " << name << "\navailability_zone: brest-a\naddress: " << address
                        << "\nstore: \"127.0.0.1:" << store.port() << "\"\nreplica: \"" << address << ":" << enginePort
                        << "\"\nservice: \"redacteur\"\nagent_port: " << agentPort
                        << "\nmetrics_port: 0\ngrace_ms: 8000\n"
                        << (firstStart ? "first_start: true\n" : "");
    return std::make_unique<Process>(
        std::vector<std::string> { daemonPath(), "--role=agent", "--settings=" + file }, folder.file(name + ".log"));
}

} // namespace review
