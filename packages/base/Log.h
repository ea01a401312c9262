#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrass::log {

/// A named value of a log line: step, peer, member, adapter, attempt, request_id and the like. Never a secret or a
/// prompt.
using Field = std::pair<std::string_view, std::string>;
using Fields = std::initializer_list<Field>;

/// Sends JSON lines to standard output. To be called once, before the first line.
auto start(std::string_view process, std::string_view level) -> void;

/// Whether `debug` writes anything; asked first where the fields alone would cost a request time.
[[nodiscard]] auto debugs() -> bool;

auto debug(std::string_view event, Fields = {}) -> void;
auto info(std::string_view event, Fields = {}) -> void;
auto warn(std::string_view event, Fields = {}) -> void;
auto error(std::string_view event, Fields = {}) -> void;

} // namespace eelgrass::log
