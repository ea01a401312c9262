#pragma once

#include <cmath>
#include <cstddef>
#include <vector>

namespace eelgrass::bench {

/// One measured point: a size and what it cost.
struct Point {
    double size = 0;
    double cost = 0;
};

/// A least-squares line through points.
struct Fit {
    double slope = 0;
    /// Standard error of the slope.
    double slopeError = 0;
    double intercept = 0;
    /// Standard error of the intercept.
    double interceptError = 0;
};

[[nodiscard]] inline auto fitLine(const std::vector<Point>& points) -> Fit
{
    const auto count = static_cast<double>(points.size());
    auto meanSize = 0.0;
    auto meanCost = 0.0;
    for (const auto& point : points) {
        meanSize += point.size / count;
        meanCost += point.cost / count;
    }
    auto spread = 0.0;
    auto joint = 0.0;
    for (const auto& point : points) {
        spread += (point.size - meanSize) * (point.size - meanSize);
        joint += (point.size - meanSize) * (point.cost - meanCost);
    }
    auto fit = Fit { .slope = joint / spread };
    fit.intercept = meanCost - fit.slope * meanSize;
    auto residual = 0.0;
    for (const auto& point : points) {
        const auto off = point.cost - fit.intercept - fit.slope * point.size;
        residual += off * off;
    }
    const auto variance = residual / (count - 2);
    fit.slopeError = std::sqrt(variance / spread);
    fit.interceptError = std::sqrt(variance * (1 / count + meanSize * meanSize / spread));
    return fit;
}

} // namespace eelgrass::bench
