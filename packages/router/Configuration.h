#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "router/AdapterTable.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace eelgrass::router {

using Json = nlohmann::json;

/// Who a key belongs to.
struct Caller {
    MemberId member;
    /// Class of this key's requests; empty leaves it to the adapter or service.
    RequestClass requestClass;
};

struct AdapterRecord {
    std::string base;
    AdapterVersion inForce;
    std::map<AdapterVersion, std::string> digests;
    std::set<MemberId> allowed;
    RequestClass requestClass;
};

struct ServiceRecord {
    std::set<MemberId> allowed;
    /// `METHOD /prefix` of the calls that run at most once.
    std::vector<std::string> neverRepeat;
    RequestClass requestClass;
};

struct ClassRecord {
    std::chrono::milliseconds deadline { 60000 };
    /// Share of a contended target against other classes.
    std::uint32_t weight = 1;
};

/// An adapter and version, settled once for a request and kept to its end.
struct ResolvedModel {
    AdapterId adapter;
    AdapterVersion version;
    std::string base;
    ModelName name;
    RequestClass requestClass;
};

/// The model of a call that turns out to run, or to have run, as `name`, whatever version is in force now.
[[nodiscard]] auto withModelName(ResolvedModel model, const ModelName& name) -> ResolvedModel;

/// One accepted configuration. It never changes; the next version shares with it whatever the patch left alone.
///
/// ```cpp
/// auto configuration = Configuration::parse(ConfigVersion(3), document);
/// auto next = configuration->patched(ConfigVersion(4), patch);
/// ```
class Configuration {
public:
    /// Fails with every reason in one message when the document is not a valid configuration.
    [[nodiscard]] static auto parse(ConfigVersion version, const Json& document) -> Result<Configuration>;
    /// Reads what `snapshot` wrote.
    [[nodiscard]] static auto fromSnapshot(ConfigVersion version, std::string_view text) -> Result<Configuration>;

    Configuration();

    /// The next version by a JSON merge patch (RFC 7396). Reads and checks only what the patch names.
    [[nodiscard]] auto patched(ConfigVersion version, const Json& patch) const -> Result<Configuration>;

    [[nodiscard]] auto version() const noexcept -> ConfigVersion { return version_; }
    /// The whole document as JSON text.
    [[nodiscard]] auto text() const -> std::string;
    /// JSON lines: all but the adapters, then one adapter a line, so that no reader needs the whole as one document.
    [[nodiscard]] auto snapshot() const -> std::string;

    [[nodiscard]] auto callerByKeyDigest(const std::string& digest) const -> const Caller*;
    [[nodiscard]] auto service(const std::string& name) const -> const ServiceRecord*;
    /// Targets that get no new work.
    [[nodiscard]] auto drained() const noexcept -> const std::set<TargetId>& { return rest_->drained; }
    /// One adapter as JSON text; null when there is none of this name.
    [[nodiscard]] auto adapterText(const std::string& name) const -> const std::string* { return adapters_.find(name); }
    /// A member that may call the model; empty when nobody may.
    [[nodiscard]] auto anyAllowedMember(std::string_view model) const -> MemberId;
    [[nodiscard]] auto requestClass(const RequestClass& name) const -> ClassRecord;
    [[nodiscard]] auto adapterCount() const noexcept -> std::size_t { return adapters_.size(); }

    /// Settles `adapter` or `adapter@version` for a member. What the member may not call is told apart from nothing.
    [[nodiscard]] auto resolve(std::string_view model, const MemberId& member) const -> Result<ResolvedModel>;

private:
    /// All but the adapters.
    struct Rest {
        Json document = Json::object();
        std::map<std::string, Caller> callers;
        std::map<std::string, ServiceRecord> services;
        std::map<RequestClass, ClassRecord> classes;
        std::set<TargetId> drained;
    };
    [[nodiscard]] static auto readRest(Json document) -> Result<std::shared_ptr<const Rest>>;
    [[nodiscard]] auto patchAdapters(const Json& patch) -> Result<void>;

    ConfigVersion version_;
    std::shared_ptr<const Rest> rest_;
    AdapterTable adapters_;
};

} // namespace eelgrass::router
