#include "router/controllers/LedgerController.h"

#include "base/Log.h"
#include "base/Utf8.h"

#include <kj/debug.h>

#include <chrono>

namespace eelgrass::router {

namespace {

using Json = nlohmann::json;

constexpr auto prefix = "run/";
// Keeps a batch of claims small enough for one transaction; further claims go into the next transaction.
constexpr auto batchLimit = std::size_t(64);
// Answers up to this size are stored in the row; a larger one would slow down every read of the table.
constexpr auto rowAnswerLimit = std::size_t(16) << 10U;
constexpr auto finishTries = 20;
constexpr auto finishRetryDelay = Duration(500ms);
// How long a caller can get the stored answer by sending its request again: a night and a working day.
constexpr auto retention = std::chrono::hours(36);
// Each entry lists the rows once an hour and removes expired ones, whichever entry wrote them.
constexpr auto sweepPeriod = Duration(std::chrono::hours(1));
constexpr auto sweepBatch = std::size_t(200);

auto unixSeconds() -> std::int64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

auto escapeKeySegment(const std::string& name) -> std::string
{
    auto out = std::string();
    for (const auto letter : name) {
        if (letter == '/')
            out += "%2F";
        else if (letter == '%')
            out += "%25";
        else
            out += letter;
    }
    return out;
}

auto objectKey(const std::string& key, const Claim& claim) -> std::string
{
    return "answer/" + key + "/" + claim.attempt.str();
}

auto toJson(const Claim& claim) -> Json
{
    return { { "state", "claimed" }, { "digest", claim.digest }, { "attempt", claim.attempt.str() },
        { "target", claim.target.str() }, { "epoch", claim.epoch.value() }, { "model", claim.model.str() },
        { "at", unixSeconds() } };
}

auto toJson(const Error& error) -> Json
{
    return { { "step", toString(error.step()) }, { "status", error.status() }, { "type", error.type() },
        { "message", error.message() }, { "peer", error.peer() }, { "run", toString(error.run()) } };
}

auto toJson(const StoredAnswer& answer) -> Json
{
    auto json = Json { { "status", answer.status }, { "content_type", answer.contentType }, { "tokens", answer.tokens },
        { "finish_reason", answer.finishReason } };
    if (answer.error)
        json["error"] = toJson(*answer.error);
    return json;
}

auto errorFrom(const Json& json) -> Error
{
    const auto run = json.value("run", "unknown");
    return Error(stepFrom(json.value("step", "")).value_or(Step::Claim), json.value("status", 502),
        json.value("type", ""), json.value("message", ""))
        .at(json.value("peer", ""))
        .run(run == "partial" ? RunState::Partial : RunState::Unknown);
}

auto answerFrom(const Json& json) -> StoredAnswer
{
    auto answer = StoredAnswer {
        .status = json.value("status", 200),
        .contentType = json.value("content_type", ""),
        .text = json.value("text", ""),
        .tokens = json.value("tokens", 0U),
        .finishReason = json.value("finish_reason", ""),
    };
    if (json.contains("error"))
        answer.error = errorFrom(json["error"]);
    return answer;
}

auto rowFrom(const platform::Row& row) -> LedgerRow
{
    if (row.version == 0)
        return {};
    const auto& value = row.value;
    auto claim = Claim {
        .digest = value.value("digest", ""),
        .attempt = AttemptId(value.value("attempt", "")),
        .target = TargetId(value.value("target", "")),
        .epoch = Epoch(value.value("epoch", std::uint64_t(0))),
        .model = ModelName(value.value("model", "")),
    };
    auto result = LedgerRow { row.version, std::move(claim), std::nullopt };
    if (value.contains("answer"))
        result.answer = answerFrom(value["answer"]);
    return result;
}

} // namespace

LedgerController::LedgerController(wire::MainLoop& loop, platform::PlatformClient& platform)
    : loop_(loop)
    , platform_(platform)
{
}

auto LedgerController::start() -> void
{
    sweepTimer_ = loop_.timers().every(sweepPeriod, [this] {
        loop_.spawn(sweep().catch_([](kj::Exception&& lost) {
            log::warn("ledger not swept", { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
        }));
    });
}

auto LedgerController::key(const MemberId& member, const std::string& idempotencyKey) -> std::string
{
    // The member's name is escaped so that it contains no '/', and no member can form the key of another member's row.
    return prefix + escapeKeySegment(member.str()) + "/" + idempotencyKey;
}

auto LedgerController::read(const std::string& key) -> kj::Promise<LedgerRow>
{
    return platform_.read(key).then([this, key](platform::Row row) -> kj::Promise<LedgerRow> {
        auto result = rowFrom(row);
        if (!result.answer || !row.value["answer"].value("in_object", false))
            return kj::mv(result);
        auto kept = platform_.getObject(objectKey(key, result.claim));
        return kept.then([result = std::move(result)](std::optional<std::string> text) mutable {
            KJ_REQUIRE(text.has_value(), "the kept answer is missing");
            result.answer->text = std::move(*text);
            return std::move(result);
        });
    });
}

auto LedgerController::claim(std::string key, Claim claim, std::uint64_t version) -> kj::Promise<LedgerRow>
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    pending_.push_back({ key, std::move(claim), version, kj::mv(pair.fulfiller) });
    if (!committing_) {
        committing_ = true;
        // The write is deferred to the next event loop turn, so that the claims of this turn are written together.
        // Claims that arrive during a transaction go into the next transaction.
        loop_.spawn(kj::evalLater([this] { flush(); }));
    }
    // Whether the write was committed or refused or its answer was lost, the row names the attempt that holds the
    // claim.
    return pair.promise.then([this, key = std::move(key)] { return read(key); });
}

auto LedgerController::flush() -> void
{
    if (pending_.empty()) {
        committing_ = false;
        return;
    }
    auto batch = std::make_shared<std::vector<Pending>>();
    const auto count = std::min(batchLimit, pending_.size());
    std::move(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count), std::back_inserter(*batch));
    pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
    loop_.spawn(commit(batch).then([this, batch] {
        for (auto& pending : *batch)
            pending.written->fulfill();
        flush();
    }));
}

auto LedgerController::commit(const Batch& batch) -> kj::Promise<void>
{
    auto transaction = platform::Transaction();
    for (const auto& pending : *batch) {
        transaction.require.push_back({ pending.key, pending.version });
        transaction.write.push_back({ pending.key, toJson(pending.claim) });
    }
    return platform_.commit(std::move(transaction))
        .then(
            [this, batch](bool committed) -> kj::Promise<void> {
                if (committed || batch->size() == 1)
                    return kj::READY_NOW;
                // One refused claim makes the whole transaction fail, so each claim is then written on its own.
                auto alone = kj::heapArrayBuilder<kj::Promise<void>>(batch->size());
                for (const auto& pending : *batch)
                    alone.add(commitOne(pending));
                return kj::joinPromises(alone.finish());
            },
            [](kj::Exception&&) {});
}

auto LedgerController::commitOne(const Pending& pending) -> kj::Promise<void>
{
    auto transaction = platform::Transaction();
    transaction.require = { { pending.key, pending.version } };
    transaction.write = { { pending.key, toJson(pending.claim) } };
    return platform_.commit(std::move(transaction)).ignoreResult().catch_([](kj::Exception&&) {});
}

auto LedgerController::finish(std::string key, LedgerRow row, StoredAnswer answer) -> kj::Promise<bool>
{
    auto value = toJson(row.claim);
    value["state"] = "finished";
    value["answer"] = toJson(answer);
    const auto inRow = answer.text.size() <= rowAnswerLimit && isUtf8(answer.text);
    value["answer"]["in_object"] = !inRow;
    if (inRow)
        value["answer"]["text"] = answer.text;
    if (inRow)
        return write(std::move(key), std::move(row), std::move(value), 0);
    // The object is written before the row refers to it.
    auto put = platform_.putObject(objectKey(key, row.claim), std::move(answer.text));
    return put.then(
        [this, key, row, value]() mutable { return write(std::move(key), std::move(row), std::move(value), 0); },
        [](kj::Exception&&) { return false; });
}

auto LedgerController::write(std::string key, LedgerRow row, Json value, int tries) -> kj::Promise<bool>
{
    auto transaction = platform::Transaction();
    transaction.require = { { key, row.version } };
    transaction.write = { { key, value } };
    return platform_.commit(std::move(transaction))
        .then(
            // A refused write means that an entry that joined the attempt has stored the same answer, or that the row
            // now holds another claim.
            [](bool) -> kj::Promise<bool> { return true; },
            [this, key, row, value, tries](kj::Exception&&) -> kj::Promise<bool> {
                if (tries >= finishTries)
                    return false;
                return loop_.sleep(finishRetryDelay).then([this, key, row, value, tries] {
                    return write(key, row, value, tries + 1);
                });
            });
}

auto LedgerController::releaseClaim(std::string key, LedgerRow row) -> kj::Promise<void>
{
    auto transaction = platform::Transaction();
    transaction.require = { { key, row.version } };
    transaction.write = { { key, toJson(Claim {}) } };
    // If the write fails, the next send of the request finds the claim and learns from the target that the attempt did
    // not run.
    return platform_.commit(std::move(transaction)).ignoreResult().catch_([](kj::Exception&&) {});
}

auto LedgerController::sweep() -> kj::Promise<void>
{
    return platform_.list(prefix).then([this](std::vector<platform::Row> rows) -> kj::Promise<void> {
        auto transaction = platform::Transaction();
        const auto oldest = unixSeconds() - std::chrono::duration_cast<std::chrono::seconds>(retention).count();
        for (const auto& row : rows) {
            if (row.value.value("at", unixSeconds()) >= oldest || transaction.remove.size() >= sweepBatch)
                continue;
            transaction.require.push_back({ row.key, row.version });
            transaction.remove.push_back(row.key);
        }
        if (transaction.remove.empty())
            return kj::READY_NOW;
        return platform_.commit(std::move(transaction)).ignoreResult();
    });
}

} // namespace eelgrass::router
