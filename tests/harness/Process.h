#pragma once

#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace eelgrass::tests {

/// A program of the system or a stand-in, started for a test; it is killed with this object.
class Process {
public:
    Process(std::string name, const std::string& program, std::vector<std::string> arguments);
    ~Process();
    Process(const Process&) = delete;
    auto operator=(const Process&) -> Process& = delete;

    /// Waits for a log line with this message and returns the whole line; throws when the process ends before.
    auto waitForLog(const std::string& message) -> std::string;
    /// A field of the line `listening`.
    auto listeningPort(const std::string& field = "port") -> std::uint16_t;
    [[nodiscard]] auto log() -> std::string;
    /// The line with this message, if it was logged by now.
    [[nodiscard]] auto logged(const std::string& message) -> std::optional<std::string>;

    /// Reads nothing more of what it logs until `resumeReading`.
    auto pauseReading() -> void;
    auto resumeReading() -> void;
    auto signal(int number) const -> void { ::kill(pid_, number); }
    /// Whether it ended by itself: its output is closed.
    [[nodiscard]] auto ended() -> bool;
    /// Waits for the end; the exit code, or the negative number of the signal.
    auto wait() -> int;
    /// Whether it still runs; a process that ended is reaped.
    [[nodiscard]] auto running() -> bool;
    /// Ends it by a signal and returns all that it logged.
    auto end(int number) -> std::string;
    [[nodiscard]] auto exitCode() const noexcept -> int { return exitCode_; }
    /// Waits until the process has closed its output; all of it.
    [[nodiscard]] auto output() -> std::string;
    [[nodiscard]] auto name() const noexcept -> const std::string& { return name_; }
    [[nodiscard]] auto pid() const noexcept -> int { return pid_; }

private:
    auto drain(int fd) -> void;
    [[nodiscard]] auto find(const std::string& message) const -> std::string;
    auto reaped(int status) -> void;

    std::string name_;
    pid_t pid_ = 0;
    bool reaped_ = false;
    int exitCode_ = 0;
    std::mutex mutex_;
    std::condition_variable more_;
    std::string log_;
    bool ended_ = false;
    bool paused_ = false;
    std::thread drainer_;
};

} // namespace eelgrass::tests
