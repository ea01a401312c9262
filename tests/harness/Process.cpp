#include "tests/harness/Process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>
#include <stdexcept>

extern char** environ;

namespace eelgrass::tests {

namespace {

auto programPath(const std::string& program) -> std::string
{
    const auto* folder = std::getenv("EELGRASS_BIN");
    return std::string(folder ? folder : "build/bin") + "/" + program;
}

auto spawn(const std::string& program, std::vector<std::string>& arguments, int output) -> pid_t
{
    auto path = programPath(program);
    auto argv = std::vector<char*> { path.data() };
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    auto actions = posix_spawn_file_actions_t {};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    auto pid = pid_t(0);
    const auto failed = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed)
        throw std::runtime_error("cannot start " + path);
    return pid;
}

} // namespace

Process::Process(std::string name, const std::string& program, std::vector<std::string> arguments)
    : name_(std::move(name))
{
    auto ends = std::array<int, 2>();
    if (pipe2(ends.data(), O_CLOEXEC))
        throw std::runtime_error("no pipe");
    pid_ = spawn(program, arguments, ends[1]);
    close(ends[1]);
    drainer_ = std::thread([this, fd = ends[0]] { drain(fd); });
}

Process::~Process()
{
    if (!reaped_) {
        signal(SIGKILL);
        wait();
    }
    resumeReading();
    drainer_.join();
}

auto Process::pauseReading() -> void
{
    auto lock = std::lock_guard(mutex_);
    paused_ = true;
}

auto Process::resumeReading() -> void
{
    auto lock = std::lock_guard(mutex_);
    paused_ = false;
    more_.notify_all();
}

auto Process::drain(int fd) -> void
{
    constexpr auto bufferSize = 65536;
    auto buffer = std::string(bufferSize, '\0');
    for (auto size = read(fd, buffer.data(), buffer.size()); size > 0; size = read(fd, buffer.data(), buffer.size())) {
        auto lock = std::unique_lock(mutex_);
        log_.append(buffer, 0, static_cast<std::size_t>(size));
        more_.notify_all();
        more_.wait(lock, [this] { return !paused_; });
    }
    close(fd);
    auto lock = std::lock_guard(mutex_);
    ended_ = true;
    more_.notify_all();
}

auto Process::waitForLog(const std::string& message) -> std::string
{
    auto line = std::string();
    auto found = [&] {
        line = find(message);
        return !line.empty() || ended_;
    };
    auto lock = std::unique_lock(mutex_);
    more_.wait(lock, found);
    if (line.empty())
        throw std::runtime_error(name_ + " ended before '" + message + "':\n" + log_);
    return line;
}

auto Process::find(const std::string& message) const -> std::string
{
    const auto at = log_.find("\"message\": \"" + message + "\"");
    const auto end = at == std::string::npos ? at : log_.find('\n', at);
    if (end == std::string::npos)
        return {};
    const auto start = log_.rfind('\n', at);
    const auto from = start == std::string::npos ? 0 : start + 1;
    return log_.substr(from, end - from);
}

auto Process::logged(const std::string& message) -> std::optional<std::string>
{
    auto lock = std::unique_lock(mutex_);
    auto line = find(message);
    return line.empty() ? std::nullopt : std::optional(std::move(line));
}

auto Process::listeningPort(const std::string& field) -> std::uint16_t
{
    const auto line = nlohmann::json::parse(waitForLog("listening"));
    return static_cast<std::uint16_t>(std::stoi(line.at("context_map").at(field).get<std::string>()));
}

auto Process::log() -> std::string
{
    auto lock = std::lock_guard(mutex_);
    return log_;
}

auto Process::ended() -> bool
{
    auto lock = std::lock_guard(mutex_);
    return ended_;
}

auto Process::output() -> std::string
{
    auto lock = std::unique_lock(mutex_);
    more_.wait(lock, [this] { return ended_; });
    return log_;
}

auto Process::wait() -> int
{
    if (reaped_)
        return exitCode_;
    auto status = 0;
    waitpid(pid_, &status, 0);
    reaped(status);
    return exitCode_;
}

auto Process::reaped(int status) -> void
{
    reaped_ = true;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

auto Process::running() -> bool
{
    auto status = 0;
    if (!reaped_ && waitpid(pid_, &status, WNOHANG) == pid_)
        reaped(status);
    return !reaped_;
}

auto Process::end(int number) -> std::string
{
    if (running())
        signal(number);
    wait();
    auto lock = std::unique_lock(mutex_);
    more_.wait(lock, [this] { return ended_; });
    return log_;
}

} // namespace eelgrass::tests
