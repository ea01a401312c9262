#include "base/Log.h"

#include "base/LogQueue.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace eelgrass::log {

namespace {

/// Writes to standard output what it takes without waiting. A pipe that poll reports writable takes a page at least.
auto writeAtOnce(std::string_view bytes) -> std::size_t
{
    constexpr auto page = std::size_t(4096);
    auto taken = std::size_t(0);
    while (taken < bytes.size()) {
        auto ready = pollfd { .fd = STDOUT_FILENO, .events = POLLOUT };
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            break;
        const auto count = ::write(STDOUT_FILENO, bytes.data() + taken, std::min(page, bytes.size() - taken));
        if (count <= 0)
            break;
        taken += static_cast<std::size_t>(count);
    }
    return taken;
}

/// Hands formatted lines to the queue.
class QueueAppender final : public log4cxx::AppenderSkeleton {
public:
    ~QueueAppender() override { queue_.flush(); }
    auto close() -> void override { queue_.flush(); }
    /// Waits for a reader that is behind, as the process ends: its last lines tell how. Nothing else is owed by then.
    auto finish() -> void
    {
        constexpr auto longest = Duration(100ms);
        const auto until = now() + longest;
        queue_.flush();
        while (!queue_.empty()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now()).count();
            auto ready = pollfd { .fd = STDOUT_FILENO, .events = POLLOUT };
            if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) != 1 || (ready.revents & POLLERR) != 0)
                return;
            queue_.flush();
        }
    }
    [[nodiscard]] auto requiresLayout() const -> bool override { return true; }

protected:
    auto append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) -> void override
    {
        auto line = log4cxx::LogString();
        getLayout()->format(line, event, pool);
        queue_.add(std::move(line), event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn()), now());
    }

private:
    LogQueue queue_ { writeAtOnce };
};

auto logger() -> const log4cxx::LoggerPtr&
{
    static const auto instance = log4cxx::Logger::getLogger("eelgrass");
    return instance;
}

auto write(const log4cxx::LevelPtr& level, std::string_view event, Fields fields) -> void
{
    if (!logger()->isEnabledFor(level))
        return;
    for (const auto& [key, value] : fields)
        log4cxx::MDC::put(std::string(key), value);
    logger()->forcedLog(level, std::string(event));
    for (const auto& [key, value] : fields)
        log4cxx::MDC::remove(std::string(key));
}

} // namespace

auto start(std::string_view process, std::string_view level) -> void
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    static auto appender = std::make_shared<QueueAppender>();
    appender->setLayout(layout);
    std::atexit([] { appender->finish(); });
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(log4cxx::Level::toLevel(std::string(level)));
    log4cxx::MDC::put("process", std::string(process));
}

auto debugs() -> bool { return logger()->isDebugEnabled(); }

auto debug(std::string_view event, Fields fields) -> void { write(log4cxx::Level::getDebug(), event, fields); }
auto info(std::string_view event, Fields fields) -> void { write(log4cxx::Level::getInfo(), event, fields); }
auto warn(std::string_view event, Fields fields) -> void { write(log4cxx::Level::getWarn(), event, fields); }
auto error(std::string_view event, Fields fields) -> void { write(log4cxx::Level::getError(), event, fields); }

} // namespace eelgrass::log
