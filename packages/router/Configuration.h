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

/// The owner of an API key.
struct Caller {
    MemberId member;
    /// Class of requests made with this key; if empty, the adapter or service sets the class.
    RequestClass requestClass;
};

struct AdapterRecord {
    std::string base;
    AdapterVersion activeVersion;
    std::map<AdapterVersion, std::string> digests;
    std::set<MemberId> allowed;
    RequestClass requestClass;
};

struct ServiceRecord {
    std::set<MemberId> allowed;
    /// Calls that run at most once, each given as `METHOD /prefix`.
    std::vector<std::string> neverRepeat;
    RequestClass requestClass;
};

struct ClassRecord {
    std::chrono::milliseconds deadline { 60000 };
    /// The share of a contended target that this class gets, relative to other classes.
    std::uint32_t weight = 1;
};

/// The adapter and version that a request uses, resolved once and kept until the request ends.
struct ResolvedModel {
    AdapterId adapter;
    AdapterVersion version;
    std::string base;
    ModelName name;
    RequestClass requestClass;
};

/// Returns `model` with its name and version replaced by those in `name`, or unchanged if `name` contains no valid
/// version. Used for a call that runs or has run on that version, even if another version is in force now.
[[nodiscard]] auto withModelName(ResolvedModel model, const ModelName& name) -> ResolvedModel;

/// One accepted version of the configuration. It is immutable; the next version shares all unpatched parts with it.
///
/// ```cpp
/// auto configuration = Configuration::parse(ConfigVersion(3), document);
/// auto next = configuration->patched(ConfigVersion(4), patch);
/// ```
class Configuration {
public:
    /// Fails with all problems in one message if the document is not a valid configuration.
    [[nodiscard]] static auto parse(ConfigVersion version, const Json& document) -> Result<Configuration>;
    /// Reads the text that `snapshot` returned.
    [[nodiscard]] static auto fromSnapshot(ConfigVersion version, std::string_view text) -> Result<Configuration>;

    Configuration();

    /// The next version, made by a JSON merge patch (RFC 7396). Parses and validates only the patched adapters, and the
    /// remaining sections only if the patch changes any of them.
    [[nodiscard]] auto patched(ConfigVersion version, const Json& patch) const -> Result<Configuration>;

    [[nodiscard]] auto version() const noexcept -> ConfigVersion { return version_; }
    /// The whole document as JSON text.
    [[nodiscard]] auto text() const -> std::string;
    /// The configuration as JSON lines: first everything except the adapters, then one adapter per line, so that a
    /// reader need not parse the whole as one document.
    [[nodiscard]] auto snapshot() const -> std::string;

    [[nodiscard]] auto callerByKeyDigest(const std::string& digest) const -> const Caller*;
    [[nodiscard]] auto service(const std::string& name) const -> const ServiceRecord*;
    /// Targets that get no new work.
    [[nodiscard]] auto drained() const noexcept -> const std::set<TargetId>& { return sections_->drained; }
    /// One adapter as JSON text; null if no adapter has this name.
    [[nodiscard]] auto adapterText(const std::string& name) const -> const std::string* { return adapters_.find(name); }
    /// Any one member that may call the model; empty if no member may.
    [[nodiscard]] auto anyAllowedMember(std::string_view model) const -> MemberId;
    [[nodiscard]] auto requestClass(const RequestClass& name) const -> ClassRecord;
    [[nodiscard]] auto adapterCount() const noexcept -> std::size_t { return adapters_.size(); }

    /// Resolves `adapter` or `adapter@version` for a member. The error for an adapter that the member may not call is
    /// the same as for an adapter that does not exist.
    [[nodiscard]] auto resolve(std::string_view model, const MemberId& member) const -> Result<ResolvedModel>;

private:
    /// Everything except the adapters.
    struct Sections {
        Json document = Json::object();
        std::map<std::string, Caller> callers;
        std::map<std::string, ServiceRecord> services;
        std::map<RequestClass, ClassRecord> classes;
        std::set<TargetId> drained;
    };
    [[nodiscard]] static auto readSections(Json document) -> Result<std::shared_ptr<const Sections>>;
    [[nodiscard]] auto patchAdapters(const Json& patch) -> Result<void>;

    ConfigVersion version_;
    std::shared_ptr<const Sections> sections_;
    AdapterTable adapters_;
};

} // namespace eelgrass::router
