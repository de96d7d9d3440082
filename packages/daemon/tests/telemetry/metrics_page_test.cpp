#include "entry/entry_metrics.hpp"
#include "jobs/job_agent_metrics.hpp"
#include "jobs/job_entry_metrics.hpp"
#include "jobs/metered_store.hpp"
#include "net/http_limits.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <memory>
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

/// Names of the metrics that docs/metrics.md lists in the section with this title.
std::set<std::string> documented_names(const std::string& section) {
    std::set<std::string> names;
    std::ifstream input(EGRETSTILE_METRICS_PAGE);
    std::string line;
    std::string present_section;
    const std::regex row("\\| `([a-z_]+)` \\|.*");
    while (std::getline(input, line)) {
        std::smatch match;
        if (line.rfind("## ", 0) == 0) {
            present_section = line.substr(3);
        } else if (present_section == section && std::regex_match(line, match, row)) {
            names.insert(match[1]);
        }
    }
    return names;
}

void check_section(const std::string& section, const std::string& served) {
    const std::set<std::string> documented = documented_names(section);
    CHECK_FALSE(documented.empty());
    CHECK(served_names(served) == documented);
}

// These tests guard against served metrics that are missing from the documentation, and against
// documented metrics that are not served.
TEST_CASE("docs/metrics.md lists exactly the metrics that an entry serves") {
    entry_metrics served;
    check_section("Entry", served.text());
}

TEST_CASE("docs/metrics.md lists exactly the metrics that a job entry serves") {
    job_entry_metrics served;
    job_entry_state state;
    state.rooms["service"] = {};
    served.set_state(state);
    const metered_store store(nullptr, served.registry());
    http_limits limits(served.registry(), 0, 0);
    limits.observer_for(http_address::callers);
    check_section("Job entry", served.registry().text());
}

TEST_CASE("docs/metrics.md lists exactly the metrics that a job agent serves") {
    job_agent_metrics served;
    const metered_store store(nullptr, served.registry());
    http_limits limits(served.registry(), 0, 0);
    limits.observer_for(http_address::callers);
    check_section("Job agent", served.registry().text());
}

// Failure: an entry stops leading, or the last VM of a service is lost. Guards against gauges that
// show its room as it was then.
TEST_CASE("the room of a service without VMs is shown as zero") {
    job_entry_metrics served;
    job_entry_state state;
    state.rooms["batch"].at(room_part::free) = 4000;
    served.set_state(state);
    const std::string row = "egretstile_room_millicores{part=\"free\",service=\"batch\"} ";
    CHECK(served.registry().text().find(row + "4000\n") != std::string::npos);
    served.set_state(job_entry_state());
    CHECK(served.registry().text().find(row + "0\n") != std::string::npos);
}

// Guards against a refusal that is counted as an unknown outcome, and an unknown outcome that is
// counted as a refusal.
TEST_CASE("each HTTP status is counted as the outcome that it reports to the caller") {
    CHECK(outcome_of_status(200) == job_call_outcome::answered);
    CHECK(outcome_of_status(429) == job_call_outcome::refused);
    CHECK(outcome_of_status(503) == job_call_outcome::refused);
    CHECK(outcome_of_status(504) == job_call_outcome::unknown);
    CHECK(outcome_of_status(410) == job_call_outcome::absent);
    CHECK(outcome_of_status(400) == job_call_outcome::invalid);
}

} // namespace
} // namespace egretstile::daemon
