#include "base/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace eelgrass::log {

namespace {

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
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
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
