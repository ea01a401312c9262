// A small deployment around the project's own programs: their settings, their processes, and the record of a case.
#pragma once

#include "Store.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <vector>

namespace review {

/// Exit codes of a case.
constexpr auto held = 0;
constexpr auto broken = 1;
constexpr auto couldNotRun = 2;

inline bool withTrouble()
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// What was sent, answered and run, with the time since the start of the case.
class Record {
public:
    explicit Record(const std::string& file)
        : file_(file)
        , began_(Clock::now())
    {
    }
    void line(const std::string& text)
    {
        const auto lock = std::lock_guard(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", std::chrono::duration<double>(Clock::now() - began_).count());
        file_ << time << text << std::endl;
        std::cout << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point began_;
};

/// A process that the case has started; killed with its owner.
class Process {
public:
    explicit Process(const std::vector<std::string>& arguments, const std::string& logFile = "/dev/null")
    {
        auto raw = std::vector<char*>();
        for (const auto& argument : arguments)
            raw.push_back(const_cast<char*>(argument.c_str()));
        raw.push_back(nullptr);
        pid_ = fork();
        if (pid_ == 0) {
            // Nothing that the case has started outlives it.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            execv(raw[0], raw.data());
            _exit(127);
        }
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    ~Process()
    {
        if (running())
            kill(SIGKILL);
        reap();
    }
    pid_t pid() const { return pid_; }
    void kill(int signal) const
    {
        if (pid_ > 0)
            ::kill(pid_, signal);
    }
    bool running()
    {
        if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ > 0;
    }
    void reap()
    {
        if (pid_ > 0)
            waitpid(pid_, &status_, 0);
        pid_ = -1;
    }
    int status() const { return status_; }

private:
    pid_t pid_ = -1;
    int status_ = 0;
};

/// A port that nobody uses now.
inline std::uint16_t freePort() { return portOf(listenOn(0).fd()); }

/// A folder for settings and logs, removed at the end.
class Folder {
public:
    Folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        path_ = mkdtemp(name);
    }
    ~Folder()
    {
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(path_);
    }
    std::string file(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

/// The bounds of the sheet of the two small deployments.
struct Gateway {
    std::uint16_t clients = freePort();
    std::uint16_t readiness = freePort();
    std::uint16_t peers = freePort();
    std::unique_ptr<Process> process;
    std::string log;
};

inline const std::string& daemonPath()
{
    static const auto path = std::string("target/bin/eelgrassrouterd");
    return path;
}

/// Starts a gateway with the command of the deploy file and the settings that its template makes for a small
/// deployment.
inline Gateway startGateway(const Folder& folder, const Store& store, const std::string& name, std::uint16_t agentPort,
    const std::string& more = {})
{
    auto gateway = Gateway();
    const auto file = folder.file(name + ".yaml");
    const auto at = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(file) << "name: " << name
                        << "\navailability_zone: brest-a\naddress: 127.0.0.1\nstore: " << at(store.port())
                        << "\nclients: " << at(gateway.clients) << "\nreadiness: " << at(gateway.readiness)
                        << "\npeers: " << at(gateway.peers) << "\nseeds: [" << at(gateway.peers)
                        << "]\nagent_port: " << agentPort
                        << "\nmetrics_port: 0\nretry_ratio: 0.2\nretry_slack: 56\ndrain_bound_ms: 2000\n"
                           "configuration_bound_ms: 2000\ngrace_ms: 8000\nfirst_start: true\nprocessor_share: 0.19\n"
                        << more;
    gateway.log = folder.file(name + ".log");
    gateway.process = std::make_unique<Process>(
        std::vector<std::string> { daemonPath(), "--role=gateway", "--settings=" + file }, gateway.log);
    return gateway;
}

/// Asks the readiness address as the platform does, until it answers 200.
inline bool awaitReady(const Gateway& gateway, milliseconds limit = milliseconds(10000))
{
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        auto socket = connectTo(gateway.readiness);
        auto input = std::string();
        if (socket.valid() && sendAll(socket.fd(), "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && readAnswer(socket.fd(), input, Clock::now() + milliseconds(1000)).message.status() == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

inline nlohmann::json limitsJson()
{
    return { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } };
}

inline nlohmann::json plainServiceJson(const std::string& name)
{
    return { { "name", name }, { "healthPath", "/health" }, { "maxConns", 110 }, { "protocol", "h1" },
        { "tls", false } };
}

/// A replica's row in the platform's list.
inline std::string serverRow(const std::string& service, std::uint16_t port, std::uint64_t sequence,
    const std::string& state = "ready", const char* address = "127.0.0.1")
{
    return nlohmann::json {
        { "service", service }, { "address", std::string(address) + ":" + std::to_string(port) }, { "zone", "brest-a" },
        { "version", "v1" }, { "slots", 6 }, { "state", state }, { "coldLeftMs", 0 }, { "sequence", sequence }
    }.dump();
}

} // namespace review
