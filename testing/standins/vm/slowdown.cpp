#include "vm/slowdown.hpp"

#include <array>
#include <cstddef>

namespace egretstile::standins {

namespace {

constexpr std::size_t kind_count = task_kind_names.size();

using kind_row = std::array<double, kind_count>;

// Rows are the kinds of the slowed task, columns those of the neighbour, both in the order
// reconciliation, notice, schedule, watch. The values are not those of real workloads. Tests need
// pairs that differ by an order of magnitude, and no kind that is always the best or worst
// neighbour.
constexpr std::array<kind_row, kind_count> task_sensitivity{
    {{0.9, 0.1, 0.4, 0.05}, {0.3, 0.1, 0.2, 0.05}, {0.5, 0.1, 1.2, 0.1}, {0.1, 0.05, 0.1, 0.02}}};
constexpr kind_row service_sensitivity{1.5, 0.1, 0.6, 0.05};
constexpr double task_sensitivity_to_service = 0.2;

double total_share(const std::vector<neighbour>& neighbours) {
    double total = 0;
    for (const neighbour& other : neighbours) {
        total += other.share;
    }
    return total;
}

/// Sum of the neighbours' effects. Each effect increases with the total load of the neighbours.
double effect(const kind_row& sensitivity, const std::vector<neighbour>& neighbours) {
    const double load = total_share(neighbours);
    double sum = 0;
    for (const neighbour& other : neighbours) {
        sum += sensitivity.at(static_cast<std::size_t>(other.kind)) * other.share * (1.0 + load);
    }
    return sum;
}

} // namespace

double task_slowdown(task_kind victim, const std::vector<neighbour>& neighbours,
                     double service_load) {
    const kind_row& sensitivity = task_sensitivity.at(static_cast<std::size_t>(victim));
    return 1.0 + effect(sensitivity, neighbours) + task_sensitivity_to_service * service_load;
}

double service_slowdown(const std::vector<neighbour>& neighbours) {
    return 1.0 + effect(service_sensitivity, neighbours);
}

} // namespace egretstile::standins
