#pragma once

/// Forward declarations of the decisions package.
namespace eelgrass::decisions {

class AdapterSlots;
class Placer;
class PollSchedule;
struct TargetView;

} // namespace eelgrass::decisions
