// Helpers for benchmark programs: CPU time and memory of a process, and data series with a linear fit.
#pragma once

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>
#include <vector>

namespace Onyxnotch::Tests {

constexpr double bytesPerMegabyte = 1e6;

inline double cpuSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    // Skip the command name, which may contain spaces. The 12th and 13th fields after it are user and system time.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values((std::istream_iterator<std::string>(fields)), {});
    return (std::stod(values.at(11)) + std::stod(values.at(12))) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

inline double residentMegabytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMegabyte;
}

// A series of data points, printed as JSON lines, with a least-squares line fit.
class Series {
public:
    Series(std::string name, std::string unit)
        : m_name(std::move(name))
        , m_unit(std::move(unit))
    {
    }

    void add(double x, double y)
    {
        m_points.emplace_back(x, y);
        std::cout << nlohmann::json { { "series", m_name }, { "x", x }, { "y", y } }.dump() << std::endl;
    }

    void fit() const
    {
        double n = static_cast<double>(m_points.size());
        double sumX = 0;
        double sumY = 0;
        double sumXX = 0;
        double sumXY = 0;
        for (const auto& [x, y] : m_points) {
            sumX += x;
            sumY += y;
            sumXX += x * x;
            sumXY += x * y;
        }
        double slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
        double intercept = (sumY - slope * sumX) / n;
        double residual = 0;
        for (const auto& [x, y] : m_points)
            residual = std::max(residual, std::abs(y - intercept - slope * x));
        std::cout << nlohmann::json { { "series", m_name }, { "unit", m_unit }, { "slope", slope }, { "base", intercept }, { "largest_residual", residual } }.dump() << std::endl;
    }

private:
    std::string m_name;
    std::string m_unit;
    std::vector<std::pair<double, double>> m_points;
};

} // namespace Onyxnotch::Tests
