#include "deployment_run.hpp"

#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace {

using namespace egretstile::bench;
namespace options = boost::program_options;

struct bench_settings {
    std::string deployment;
    std::string strategy;
    std::uint32_t service_time_us{5000};
};

bench_settings parse(int argc, char** argv) {
    bench_settings settings;
    options::options_description known("egretstile-bench");
    auto add = known.add_options();
    add("deployment", options::value(&settings.deployment), "only this deployment");
    add("strategy", options::value(&settings.strategy), "only strategies with this placement");
    add("service-us", options::value(&settings.service_time_us), "service time of the upstreams");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
    return settings;
}

bool selected(const std::string& wanted, const std::string& name) {
    return wanted.empty() || wanted == name;
}

/// Gives whether each selected combination could be measured.
bool measure_all(const bench_settings& settings, measurement_table& table) {
    bool complete = true;
    for (deployment scene : all_deployments()) {
        scene.service_time_us = settings.service_time_us;
        for (const strategy& how : all_strategies()) {
            if (!selected(settings.deployment, scene.name) ||
                !selected(settings.strategy, how.placement)) {
                continue;
            }
            std::cerr << "bench: " << scene.name << " with " << how.name() << '\n';
            try {
                deployment_run(scene, how, table).run();
            } catch (const std::exception& error) {
                std::cerr << "bench: " << error.what() << '\n';
                complete = false;
            }
        }
    }
    return complete;
}

} // namespace

/// Prints the measurements as CSV. A missed bound is a result; only a measurement that could not
/// be made is a failure.
int main(int argc, char** argv) {
    try {
        measurement_table table;
        const bool complete = measure_all(parse(argc, argv), table);
        table.write_csv(std::cout);
        return complete ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception& error) {
        std::cerr << "bench: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
