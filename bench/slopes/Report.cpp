#include "bench/slopes/Report.h"

#include <cstdio>

namespace eelgrass::bench {

Report::Report(const std::string& folder)
    : points_(folder + "/slopes-points.csv")
    , fits_(folder + "/slopes.csv")
{
    points_ << "per,cost,size,value\n";
    fits_ << "per,cost,slope,slope_error,intercept,intercept_error,points\n";
}

Report::~Report()
{
    for (const auto& [name, points] : series_) {
        const auto fit = fitLine(points);
        fits_ << name.first << "," << name.second << "," << fit.slope << "," << fit.slopeError << "," << fit.intercept
              << "," << fit.interceptError << "," << points.size() << "\n";
        std::printf("%-10s %-34s %12.4g +- %-10.2g base %12.5g +- %.2g\n", name.first.c_str(), name.second.c_str(),
            fit.slope, fit.slopeError, fit.intercept, fit.interceptError);
    }
}

auto Report::add(const std::string& per, const std::string& name, double size, double cost) -> void
{
    points_ << per << "," << name << "," << size << "," << cost << std::endl;
    series_[{ per, name }].push_back({ size, cost });
}

} // namespace eelgrass::bench
