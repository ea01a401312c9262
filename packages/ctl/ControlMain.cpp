#include "base/Log.h"
#include "ctl/Ctl.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>

// NOLINTBEGIN
ABSL_FLAG(std::string, entry, "", "URL of an entry, as http://10.0.0.1:8080");
ABSL_FLAG(std::string, key_file, "", "file that holds the operator's key");
ABSL_FLAG(bool, json, false, "print results and errors as JSON");
ABSL_FLAG(std::string, member, "", "member, for explain and adapters allow");
ABSL_FLAG(std::string, base, "", "base model of a new adapter");
ABSL_FLAG(std::string, digest, "", "digest of a version's weights");
ABSL_FLAG(std::string, class, "", "request class of a new adapter");
ABSL_FLAG(std::vector<std::string>, allow, {}, "members that may call a new adapter");
ABSL_FLAG(std::string, against, "", "configuration version that a patch is against");
ABSL_FLAG(std::string, role, "", "role of a settings file to check: entry or target");
ABSL_FLAG(bool, activate, false, "put a new version in force");
ABSL_FLAG(bool, undo, false, "take back: drain, adapters allow");
// NOLINTEND

namespace {

using namespace eelgrass;

auto invocationFrom(const std::vector<char*>& arguments) -> ctl::Invocation
{
    return {
        .words = { arguments.begin() + 1, arguments.end() },
        .entry = absl::GetFlag(FLAGS_entry),
        .keyFile = absl::GetFlag(FLAGS_key_file),
        .json = absl::GetFlag(FLAGS_json),
        .member = absl::GetFlag(FLAGS_member),
        .base = absl::GetFlag(FLAGS_base),
        .digest = absl::GetFlag(FLAGS_digest),
        .requestClass = absl::GetFlag(FLAGS_class),
        .allow = absl::GetFlag(FLAGS_allow),
        .against = absl::GetFlag(FLAGS_against),
        .role = absl::GetFlag(FLAGS_role),
        .activate = absl::GetFlag(FLAGS_activate),
        .undo = absl::GetFlag(FLAGS_undo),
    };
}

// Abseil takes underscores in the names of flags alone; operators' shells are used to dashes.
auto acceptDashes(int argc, char** argv) -> void
{
    constexpr auto prefix = std::size_t(2);
    for (auto index = 1; index < argc; ++index) {
        auto* name = argv[index];
        if (!std::string_view(name).starts_with("--"))
            continue;
        for (auto* letter = name + prefix; *letter && *letter != '='; ++letter)
            *letter = *letter == '-' ? '_' : *letter;
    }
}

// Without this, --help would list the flags of the libraries too.
auto ownFlags(absl::string_view file) -> bool { return file.find("ControlMain") != absl::string_view::npos; }

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage(std::string(ctl::usage()));
    absl::SetFlagsUsageConfig({ .contains_helpshort_flags = ownFlags,
        .contains_help_flags = ownFlags,
        .version_string = [] { return std::string("eelgrassctl " EELGRASS_VERSION "\n"); } });
    acceptDashes(argc, argv);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    log::start("eelgrassctl", "ERROR");
    return static_cast<int>(ctl::run(invocationFrom(arguments), { std::cout, std::cerr }));
}
