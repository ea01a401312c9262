#include "router/Configuration.h"

#include "base/JsonText.h"

#include <charconv>
#include <functional>
#include <utility>

namespace eelgrass::router {

namespace {

constexpr auto adaptersKey = "adapters";
constexpr auto countKey = "adapter_count";
constexpr auto sectionsKey = "rest";

/// Reads a configuration document and collects the problems found in it.
class DocumentReader {
public:
    auto addProblem(const std::string& where, const std::string& what) -> void
    {
        problems_.append(where).append(" ").append(what).append("; ");
    }

    auto forEachObject(const Json& parent, const char* key, const std::string& where,
        const std::function<void(const std::string&, const Json&)>& visit) -> void
    {
        const auto found = parent.find(key);
        if (found == parent.end())
            return;
        if (!found->is_object())
            return addProblem(where + key, "must be an object");
        for (const auto& [name, value] : found->items()) {
            if (value.is_object())
                visit(name, value);
            else
                addProblem(where + key + "." + name, "must be an object");
        }
    }

    auto text(const Json& parent, const char* key, const std::string& where, bool required = false) -> std::string
    {
        const auto found = parent.find(key);
        if (found == parent.end()) {
            if (required)
                addProblem(where + "." + key, "is missing");
            return {};
        }
        if (!found->is_string()) {
            addProblem(where + "." + key, "must be a string");
            return {};
        }
        return found->get<std::string>();
    }

    auto number(const Json& parent, const char* key, const std::string& where, std::uint64_t fallback) -> std::uint64_t
    {
        const auto found = parent.find(key);
        if (found == parent.end())
            return fallback;
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0) {
            addProblem(where + "." + key, "must be a positive whole number");
            return fallback;
        }
        return found->get<std::uint64_t>();
    }

    auto texts(const Json& parent, const char* key, const std::string& where) -> std::vector<std::string>
    {
        auto list = std::vector<std::string>();
        const auto found = parent.find(key);
        if (found == parent.end())
            return list;
        if (!found->is_array()) {
            addProblem(where + "." + key, "must be a list of strings");
            return list;
        }
        for (const auto& item : *found) {
            if (item.is_string())
                list.push_back(item.get<std::string>());
            else
                addProblem(where + "." + key, "must be a list of strings");
        }
        return list;
    }

    auto members(const Json& parent, const std::string& where) -> std::set<MemberId>
    {
        auto set = std::set<MemberId>();
        for (auto& name : texts(parent, "allow", where))
            set.emplace(std::move(name));
        return set;
    }

    [[nodiscard]] auto problems() const noexcept -> const std::string& { return problems_; }

private:
    std::string problems_;
};

auto parseVersion(std::string_view text) -> std::optional<AdapterVersion>
{
    auto number = std::uint64_t(0);
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || rest != end || number == 0)
        return std::nullopt;
    return AdapterVersion(number);
}

auto readAdapter(DocumentReader& reader, const std::string& where, const Json& json) -> AdapterRecord
{
    auto record = AdapterRecord();
    record.base = reader.text(json, "base", where, true);
    record.activeVersion = AdapterVersion(reader.number(json, "in_force", where, 0));
    record.allowed = reader.members(json, where);
    record.requestClass = RequestClass(reader.text(json, "class", where));
    reader.forEachObject(json, "versions", where + ".", [&](const std::string& name, const Json& value) {
        const auto version = parseVersion(name);
        if (!version)
            return reader.addProblem(where + ".versions." + name, "must be a positive whole number");
        record.digests[*version] = reader.text(value, "digest", where + ".versions." + name, true);
    });
    if (record.activeVersion.value() != 0 && !record.digests.contains(record.activeVersion))
        reader.addProblem(where + ".in_force", "names a version that is not there");
    return record;
}

auto readService(DocumentReader& reader, const std::string& where, const Json& json) -> ServiceRecord
{
    return {
        .allowed = reader.members(json, where),
        .neverRepeat = reader.texts(json, "never_repeat", where),
        .requestClass = RequestClass(reader.text(json, "class", where)),
    };
}

auto readClass(DocumentReader& reader, const std::string& where, const Json& json) -> ClassRecord
{
    auto record = ClassRecord();
    record.deadline = std::chrono::milliseconds(
        reader.number(json, "deadline_ms", where, static_cast<std::uint64_t>(record.deadline.count())));
    record.weight = static_cast<std::uint32_t>(reader.number(json, "weight", where, record.weight));
    return record;
}

auto invalid(std::string problems) -> boost::leaf::error_id
{
    return fail(Error(Step::Configure, 422, "invalid_configuration", std::move(problems)));
}

} // namespace

auto Configuration::readSections(Json document) -> Result<std::shared_ptr<const Sections>>
{
    auto reader = DocumentReader();
    auto sections = std::make_shared<Sections>();
    reader.forEachObject(document, "members", "", [&](const std::string& name, const Json& member) {
        reader.forEachObject(member, "keys", "members." + name + ".", [&](const std::string& digest, const Json& key) {
            auto where = "members." + name + ".keys." + digest;
            sections->callers[digest] = { MemberId(name), RequestClass(reader.text(key, "class", where)) };
        });
    });
    reader.forEachObject(document, "services", "", [&](const std::string& name, const Json& service) {
        sections->services[name] = readService(reader, "services." + name, service);
    });
    reader.forEachObject(document, "classes", "", [&](const std::string& name, const Json& json) {
        sections->classes[RequestClass(name)] = readClass(reader, "classes." + name, json);
    });
    reader.forEachObject(document, "drained", "",
        [&](const std::string& name, const Json&) { sections->drained.insert(TargetId(name)); });
    if (!reader.problems().empty())
        return invalid(reader.problems());
    sections->document = std::move(document);
    return std::shared_ptr<const Sections>(std::move(sections));
}

Configuration::Configuration()
    : sections_(std::make_shared<Sections>())
{
}

auto Configuration::parse(ConfigVersion version, const Json& document) -> Result<Configuration>
{
    return Configuration().patched(version, document);
}

auto Configuration::patched(ConfigVersion version, const Json& patch) const -> Result<Configuration>
{
    if (!patch.is_object())
        return invalid("the configuration must be an object");
    auto next = *this;
    next.version_ = version;
    const auto adapters = patch.find(adaptersKey);
    if (adapters != patch.end())
        BOOST_LEAF_CHECK(next.patchAdapters(*adapters));
    // Most changes affect adapters only; the members, of which there may be thousands, are then not parsed again.
    if (patch.size() > (adapters == patch.end() ? 0 : 1)) {
        auto others = patch;
        others.erase(adaptersKey);
        auto document = sections_->document;
        document.merge_patch(others);
        BOOST_LEAF_ASSIGN(next.sections_, readSections(std::move(document)));
    }
    return next;
}

auto Configuration::patchAdapters(const Json& patch) -> Result<void>
{
    if (patch.is_null()) {
        adapters_ = {};
        return {};
    }
    if (!patch.is_object())
        return invalid("adapters must be an object");
    auto reader = DocumentReader();
    for (const auto& [name, change] : patch.items()) {
        const auto where = "adapters." + name;
        if (change.is_null()) {
            adapters_.erase(AdapterId(name));
            continue;
        }
        const auto* known = adapters_.find(name);
        auto adapter = known ? Json::parse(*known) : Json::object();
        adapter.merge_patch(change);
        if (name.find_first_of("@#/") != std::string::npos)
            reader.addProblem(where, "must not contain @, # or /");
        if (adapter.is_object())
            readAdapter(reader, where, adapter);
        else
            reader.addProblem(where, "must be an object");
        adapters_.set(AdapterId(name), adapter.dump());
    }
    if (!reader.problems().empty())
        return invalid(reader.problems());
    return {};
}

auto Configuration::text() const -> std::string
{
    auto all = sections_->document.dump();
    all.pop_back();
    if (all.size() > 1)
        all += ',';
    all.append("\"").append(adaptersKey).append("\":{");
    auto first = true;
    adapters_.forEach([&](const AdapterId& name, const std::string& adapter) {
        all.append(first ? "" : ",").append(Json(name.str()).dump()).append(":").append(adapter);
        first = false;
    });
    return all + "}}";
}

auto Configuration::snapshot() const -> std::string
{
    auto lines = Json { { countKey, adapters_.size() }, { sectionsKey, sections_->document } }.dump() + "\n";
    adapters_.forEach([&](const AdapterId& name, const std::string& adapter) {
        lines.append("{").append(Json(name.str()).dump()).append(":").append(adapter).append("}\n");
    });
    return lines;
}

auto Configuration::fromSnapshot(ConfigVersion version, std::string_view text) -> Result<Configuration>
{
    auto result = Configuration();
    result.version_ = version;
    auto first = true;
    auto count = std::size_t(0);
    for (auto rest = text; !rest.empty();) {
        const auto end = rest.find('\n');
        auto line = parseJson(rest.substr(0, end));
        if (end == std::string_view::npos || !line.is_object())
            return invalid("the snapshot is not whole");
        rest.remove_prefix(end + 1);
        if (std::exchange(first, false)) {
            count = line.value(countKey, std::size_t(0));
            BOOST_LEAF_ASSIGN(result.sections_, readSections(line.value(sectionsKey, Json::object())));
            continue;
        }
        for (const auto& [name, adapter] : line.items())
            result.adapters_.set(AdapterId(name), adapter.dump());
    }
    // A text truncated between two lines is still valid JSON lines; accepting it would make this entry refuse callers
    // of the missing adapters.
    if (first || result.adapters_.size() != count)
        return invalid("the snapshot is not whole");
    return result;
}

auto Configuration::callerByKeyDigest(const std::string& digest) const -> const Caller*
{
    const auto found = sections_->callers.find(digest);
    return found == sections_->callers.end() ? nullptr : &found->second;
}

auto Configuration::service(const std::string& name) const -> const ServiceRecord*
{
    const auto found = sections_->services.find(name);
    return found == sections_->services.end() ? nullptr : &found->second;
}

auto Configuration::requestClass(const RequestClass& name) const -> ClassRecord
{
    const auto found = sections_->classes.find(name);
    return found == sections_->classes.end() ? ClassRecord() : found->second;
}

auto Configuration::anyAllowedMember(std::string_view model) const -> MemberId
{
    const auto* known = adapters_.find(model.substr(0, model.find('@')));
    if (!known)
        return {};
    auto reader = DocumentReader();
    const auto record = readAdapter(reader, "adapters", Json::parse(*known));
    return record.allowed.empty() ? MemberId() : *record.allowed.begin();
}

auto Configuration::resolve(std::string_view model, const MemberId& member) const -> Result<ResolvedModel>
{
    const auto at = model.find('@');
    const auto name = AdapterId(std::string(model.substr(0, at)));
    const auto* known = adapters_.find(name.view());
    auto reader = DocumentReader();
    const auto record = known ? readAdapter(reader, "adapters", Json::parse(*known)) : AdapterRecord();
    // An adapter of another member is reported as absent, so that members cannot find out which adapters others have.
    if (!known || !record.allowed.contains(member))
        return fail(Error(
            Step::Resolve, 404, "unknown_model", "there is no model '" + std::string(model) + "' for this caller"));
    const auto version
        = at == std::string_view::npos ? std::optional(record.activeVersion) : parseVersion(model.substr(at + 1));
    const auto digest = version ? record.digests.find(*version) : record.digests.end();
    if (digest == record.digests.end())
        return fail(Error(Step::Resolve, 404, "unknown_version", "there is no such version of '" + name.str() + "'"));
    auto qualified = name.str() + "@" + std::to_string(version->value()) + "#" + digest->second;
    return ResolvedModel { name, *version, record.base, ModelName(std::move(qualified)), record.requestClass };
}

auto withModelName(ResolvedModel model, const ModelName& name) -> ResolvedModel
{
    const auto text = name.view();
    const auto at = text.find('@');
    const auto version
        = at == std::string_view::npos ? std::nullopt : parseVersion(text.substr(at + 1, text.find('#', at) - at - 1));
    if (!version)
        return model;
    model.name = name;
    model.version = *version;
    return model;
}

} // namespace eelgrass::router
