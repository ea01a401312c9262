#pragma once

/// Forward declarations of the ctl package.
namespace eelgrass::ctl {

class EntryClient;
enum class ExitCode;
struct EntryAnswer;
struct Invocation;
struct Streams;

} // namespace eelgrass::ctl
