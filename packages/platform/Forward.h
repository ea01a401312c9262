#pragma once

/// Forward declarations of the platform package.
namespace eelgrass::platform {

class PlatformClient;
struct HostRecord;
struct Row;
struct Transaction;

} // namespace eelgrass::platform
