#include "entry/entry_metrics.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace egretstile::daemon {
namespace {

std::set<std::string> served_names(const std::string& text) {
    std::set<std::string> names;
    std::istringstream lines(text);
    std::string line;
    const std::regex help("# HELP ([a-z_]+) .*");
    while (std::getline(lines, line)) {
        std::smatch match;
        if (std::regex_match(line, match, help)) {
            names.insert(match[1]);
        }
    }
    return names;
}

std::set<std::string> documented_names(const std::string& file) {
    std::set<std::string> names;
    std::ifstream input(file);
    std::string line;
    const std::regex row("\\| `([a-z_]+)` \\|.*");
    while (std::getline(input, line)) {
        std::smatch match;
        if (std::regex_match(line, match, row)) {
            names.insert(match[1]);
        }
    }
    return names;
}

// Guards against metrics that operators cannot look up, and against a list that names metrics which
// are not served.
TEST_CASE("docs/metrics.md lists exactly the metrics that an entry serves") {
    entry_metrics metrics;
    const std::set<std::string> documented = documented_names(EGRETSTILE_METRICS_PAGE);
    CHECK_FALSE(documented.empty());
    CHECK(served_names(metrics.text()) == documented);
}

} // namespace
} // namespace egretstile::daemon
