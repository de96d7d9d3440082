#include "soak_plan.hpp"
#include "soak_run.hpp"

#include <Poco/Exception.h>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace egretstile;
using namespace egretstile::soak;
namespace options = boost::program_options;

struct settings {
    soak_options first;
    std::uint64_t seeds{1};
};

settings parse(int argc, char** argv) {
    settings parsed;
    std::int64_t seconds = parsed.first.duration.count();
    std::vector<std::string> without;
    options::options_description description("job_soak");
    auto add = description.add_options();
    add("seed", options::value(&parsed.first.seed), "first seed");
    add("seeds", options::value(&parsed.seeds), "number of seeds");
    add("seconds", options::value(&seconds), "time of the faults of each seed");
    add("entries", options::value(&parsed.first.entries), "number of entries");
    add("vms", options::value(&parsed.first.vms), "number of VMs");
    add("without", options::value(&without)->composing(), "kind of fault to leave out");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (seconds < 1 || parsed.first.entries < 1 || parsed.first.vms < 1) {
        throw std::invalid_argument("seconds, entries and vms must be positive");
    }
    parsed.first.duration = std::chrono::seconds(seconds);
    for (const std::string& name : without) {
        const std::optional<fault_kind> kind = value_of(fault_names, name);
        if (!kind) {
            throw std::invalid_argument("no such fault: " + name);
        }
        parsed.first.without.insert(*kind);
    }
    if (parsed.first.without.size() == fault_names.size()) {
        throw std::invalid_argument("no fault is left");
    }
    return parsed;
}

/// Returns whether there was no violation.
bool run_seed(const soak_options& chosen) {
    const soak_plan plan = make_plan(chosen);
    const std::string seed = "seed " + std::to_string(chosen.seed);
    std::cout << seed << ": " << chosen.entries << " entries, " << chosen.vms << " vms, "
              << plan.faults.size() << " faults, " << plan.jobs.size() << " jobs\n"
              << to_text(plan) << std::flush;
    soak_run run(chosen, plan);
    const soak_result result = run.run();
    std::cout << seed << ": accepted=" << result.accepted << " refused=" << result.refused
              << " unknown=" << result.unknown << " cancelled=" << result.cancelled
              << " starts=" << result.starts << " settled_after=" << to_text(result.settling)
              << " violations=" << result.violations.size() << '\n';
    for (const std::string& violation : result.violations) {
        std::cout << seed << " VIOLATION " << violation << '\n';
    }
    std::cout << std::flush;
    return result.violations.empty();
}

} // namespace

int main(int argc, char** argv) {
    try {
        settings chosen = parse(argc, argv);
        bool clean = true;
        for (std::uint64_t count = 0; count < chosen.seeds; ++count) {
            clean = run_seed(chosen.first) && clean;
            ++chosen.first.seed;
        }
        return clean ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const Poco::Exception& error) {
        std::cerr << "job_soak: " << error.displayText() << '\n';
    } catch (const std::exception& error) {
        std::cerr << "job_soak: " << error.what() << '\n';
    }
    return EXIT_FAILURE;
}
