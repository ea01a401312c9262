// The platform's store as its page describes it: rows in tables, transactions, long polls. Acknowledged writes stay.
#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace review {

inline std::string base64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto text = std::string();
    auto at = std::size_t(0);
    for (; at + 2 < bytes.size(); at += 3) {
        const auto word = (std::uint32_t(std::uint8_t(bytes[at])) << 16)
            | (std::uint32_t(std::uint8_t(bytes[at + 1])) << 8) | std::uint8_t(bytes[at + 2]);
        for (auto shift = 18; shift >= 0; shift -= 6)
            text += letters[(word >> shift) & 63U];
    }
    if (const auto rest = bytes.size() - at; rest > 0) {
        auto word = std::uint32_t(std::uint8_t(bytes[at])) << 16;
        if (rest == 2)
            word |= std::uint32_t(std::uint8_t(bytes[at + 1])) << 8;
        text += letters[(word >> 18) & 63U];
        text += letters[(word >> 12) & 63U];
        text += rest == 2 ? letters[(word >> 6) & 63U] : '=';
        text += '=';
    }
    return text;
}

class Store {
public:
    Store()
        : listener_(listenOn(0))
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

    /// Writes a row as the operator or a replica does; the return is the acknowledgement.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const auto lock = std::lock_guard(mutex_);
        rows_[{ table, "", key }] = { base64(value), ++version_, false };
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const auto lock = std::lock_guard(mutex_);
        rows_[{ table, "", key }] = { "", ++version_, true };
        changed_.notify_all();
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    using Key = std::tuple<std::string, std::string, std::string>;
    using Json = nlohmann::json;

    static Json asJson(const Key& key, const Row& row)
    {
        auto json = Json { { "table", std::get<0>(key) }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) },
            { "value", row.value }, { "ver", row.version } };
        if (row.deleted)
            json["tombstone"] = true;
        return json;
    }
    static std::uint64_t number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

    void serve(Socket socket)
    {
        auto input = std::string();
        auto request = Message();
        while (readRequest(socket.fd(), input, request)) {
            auto status = 200;
            auto body = answer(request, status);
            body["nowMs"] = std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
            if (!sendAll(socket.fd(), responseText(status, "Content-Type: application/json\r\n", body.dump())))
                return;
            request = Message();
        }
    }

    Json answer(const Message& request, int& status)
    {
        const auto path = request.path();
        auto lock = std::unique_lock(mutex_);
        if (path == "/rows-get")
            return read(request);
        if (path == "/rows-feed")
            return follow(request, lock);
        if (path == "/rows-tx")
            return transact(request, status);
        status = 404;
        return Json::object();
    }

    Json read(const Message& request)
    {
        const auto table = request.query("table");
        const auto from = request.query("from");
        const auto to = request.query("to");
        const auto limit = request.query("limit").empty() ? 500 : number(request.query("limit"));
        auto rows = Json::array();
        auto truncated = false;
        for (const auto& [key, row] : rows_) {
            const auto& name = std::get<2>(key);
            if (std::get<0>(key) != table || std::get<1>(key) != request.query("part") || row.deleted || name < from
                || (!to.empty() && name >= to))
                continue;
            if (rows.size() == limit) {
                truncated = true;
                break;
            }
            rows.push_back(asJson(key, row));
        }
        return { { "rows", rows }, { "truncated", truncated }, { "ver", version_ } };
    }

    Json follow(const Message& request, std::unique_lock<std::mutex>& lock)
    {
        const auto table = request.query("table");
        const auto after = number(request.query("after"));
        const auto until = Clock::now() + milliseconds(number(request.query("waitMs")));
        auto rows = Json::array();
        for (;;) {
            for (const auto& [key, row] : rows_) {
                if (std::get<0>(key) == table && row.version > after)
                    rows.push_back(asJson(key, row));
            }
            if (!rows.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout)
                return { { "rows", rows }, { "ver", version_ } };
        }
    }

    Json transact(const Message& request, int& status)
    {
        const auto json = Json::parse(request.body);
        auto holds = true;
        auto current = Json::array();
        for (const auto& condition : json.at("precondition")) {
            const auto key = keyOf(condition);
            const auto found = rows_.find(key);
            const auto version = found == rows_.end() || found->second.deleted ? 0 : found->second.version;
            holds = holds && version == condition.value("ver", std::uint64_t(0));
            if (version != 0)
                current.push_back(asJson(key, found->second));
        }
        for (const auto& row : json.at("setKeys")) {
            if (row.at("table") == "op" || row.at("table") == "servers") {
                status = 403;
                return Json::object();
            }
        }
        if (!holds) {
            status = 412;
            return { { "rows", current }, { "ver", version_ } };
        }
        ++version_;
        for (const auto& row : json.at("setKeys"))
            rows_[keyOf(row)] = { row.at("value").get<std::string>(), version_, false };
        for (const auto& row : json.at("remove"))
            rows_[keyOf(row)] = { "", version_, true };
        changed_.notify_all();
        return { { "ver", version_ } };
    }

    static Key keyOf(const Json& row)
    {
        return { row.at("table").get<std::string>(), row.value("part", std::string()),
            row.at("key").get<std::string>() };
    }

    Socket listener_;
    std::uint16_t port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
};

} // namespace review
