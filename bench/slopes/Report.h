#pragma once

#include "bench/slopes/Fit.h"

#include <fstream>
#include <map>
#include <string>
#include <utility>

namespace eelgrass::bench {

/// Gathers points by name, prints their fits, and writes both as CSV.
class Report {
public:
    explicit Report(const std::string& folder);
    ~Report();
    Report(const Report&) = delete;
    auto operator=(const Report&) -> Report& = delete;

    /// `name` tells role, cost and unit, such as `entry cpu us a second`; `per` tells what the size counts.
    auto add(const std::string& per, const std::string& name, double size, double cost) -> void;

private:
    std::ofstream points_;
    std::ofstream fits_;
    std::map<std::pair<std::string, std::string>, std::vector<Point>> series_;
};

} // namespace eelgrass::bench
