#include "measurement_table.hpp"

#include <iomanip>

namespace egretstile::bench {

bool measurement::met() const {
    if (!limit) {
        return true;
    }
    return limit->kind == bound_kind::at_most ? value <= limit->limit : value >= limit->limit;
}

std::optional<double> measurement_table::value(const std::string& deployment,
                                               const std::string& strategy,
                                               const std::string& measure) const {
    for (const measurement& row : rows_) {
        if (row.deployment == deployment && row.strategy == strategy && row.measure == measure) {
            return row.value;
        }
    }
    return std::nullopt;
}

void measurement_table::write_csv(std::ostream& output) const {
    output << "deployment,strategy,measure,value,unit,bound,met\n";
    output << std::fixed << std::setprecision(3);
    for (const measurement& row : rows_) {
        output << row.deployment << ',' << row.strategy << ',' << row.measure << ',' << row.value
               << ',' << row.unit << ',';
        if (row.limit) {
            output << (row.limit->kind == bound_kind::at_most ? "at most " : "at least ")
                   << row.limit->limit << ',' << (row.met() ? "yes" : "no");
        } else {
            output << ',';
        }
        output << '\n';
    }
}

} // namespace egretstile::bench
