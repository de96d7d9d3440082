#include "bench_line.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <numeric>

namespace egretstile::bench {

void print(const bench_line& line) {
    std::cout << line.measure << ',' << line.strategy << ',' << std::fixed << std::setprecision(3)
              << line.value << ',' << line.unit << ',';
    if (line.bound) {
        std::cout << *line.bound << ',' << (line.value <= *line.bound ? "yes" : "no");
    } else {
        std::cout << ',';
    }
    std::cout << '\n';
}

double quantile(std::vector<double> samples, double share) {
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(samples.size() - 1));
    const auto middle = std::next(samples.begin(), rank);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
}

double mean(const std::vector<double>& samples) {
    return std::accumulate(samples.begin(), samples.end(), 0.0) /
           static_cast<double>(samples.size());
}

} // namespace egretstile::bench
