#include "model_agent.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace egretstile;

constexpr milliseconds heartbeat_interval{500};
/// Number of steps of the heartbeat interval over which the agents' heartbeats are spread.
constexpr std::size_t heartbeat_steps = 25;

struct fleet_options {
    std::vector<egretstile::endpoint> entries;
    std::string deployment_key;
    std::size_t agents{0};
    milliseconds run_time{0};
    milliseconds duration{0};
};

egretstile::endpoint parse_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

std::string read_key(const std::string& file) {
    std::ifstream input(file);
    std::string key;
    input >> key;
    return key;
}

/// Runs the agents and prints their counters at the end of the duration. Rates are taken over its
/// second half only, as the first half includes the connections and the first starts.
class fleet_run {
public:
    explicit fleet_run(const fleet_options& settings)
        : settings_(settings) {
        for (std::size_t i = 0; i < settings_.agents; ++i) {
            agents_.push_back(std::make_unique<testing::model_agent>(
                loop_, settings_.entries, settings_.deployment_key, "vm-" + std::to_string(i),
                "domain-" + std::to_string(i % 3), settings_.run_time, counters_));
        }
    }

    void run() {
        loop_.call_every(milliseconds(100), [this] {
            for (const std::unique_ptr<testing::model_agent>& agent : agents_) {
                agent->maintain();
            }
        });
        loop_.call_every(heartbeat_interval / heartbeat_steps, [this] { send_next_heartbeats(); });
        const boot_time start = boot_now();
        loop_.call_at(start + settings_.duration / 2, [this] { record_baseline(); });
        loop_.call_at(start + settings_.duration, [this] {
            print();
            loop_.stop();
        });
        loop_.run();
    }

private:
    void send_next_heartbeats() {
        const boot_time now = boot_now();
        for (std::size_t i = step_; i < agents_.size(); i += heartbeat_steps) {
            agents_[i]->send_heartbeats(now);
        }
        step_ = (step_ + 1) % heartbeat_steps;
    }

    std::uint64_t bytes() const {
        std::uint64_t total = 0;
        for (const std::unique_ptr<testing::model_agent>& agent : agents_) {
            total += agent->bytes_sent() + agent->bytes_received();
        }
        return total;
    }

    void record_baseline() {
        baseline_at_ = boot_now();
        baseline_bytes_ = bytes();
        baseline_ = counters_;
    }

    void print() const {
        const double seconds = std::chrono::duration<double>(boot_now() - baseline_at_).count();
        std::size_t runs = 0;
        for (const std::unique_ptr<testing::model_agent>& agent : agents_) {
            runs += agent->runs();
        }
        const double agents = static_cast<double>(agents_.size());
        std::cout << "{\"agents\":" << agents_.size() << ",\"runs\":" << runs
                  << ",\"starts\":" << counters_.starts << ",\"starts_per_s\":"
                  << static_cast<double>(counters_.starts - baseline_.starts) / seconds
                  << ",\"replies_per_s\":"
                  << static_cast<double>(counters_.replies - baseline_.replies) / seconds
                  << ",\"bytes_per_s_per_agent\":"
                  << static_cast<double>(bytes() - baseline_bytes_) / seconds / agents
                  << ",\"connections_lost\":" << counters_.connections_lost << "}\n";
    }

    fleet_options settings_;
    egretstile::event_loop loop_;
    testing::fleet_counters counters_;
    testing::fleet_counters baseline_;
    std::vector<std::unique_ptr<testing::model_agent>> agents_;
    std::size_t step_{0};
    boot_time baseline_at_{};
    std::uint64_t baseline_bytes_{0};
};

} // namespace

int main(int argc, char** argv) {
    options::options_description description("Connects many model agents to entries");
    description.add_options()("help", "print this help")(
        "entry", options::value<std::vector<std::string>>()->required(), "address of peers' port")(
        "key-file", options::value<std::string>()->required(), "file with the deployment key")(
        "agents", options::value<std::size_t>()->default_value(50), "number of agents")(
        "run-ms", options::value<std::int64_t>()->default_value(600'000), "run time of each task")(
        "seconds", options::value<std::int64_t>()->default_value(10), "duration");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        options::notify(values);
        fleet_options settings;
        for (const std::string& text : values["entry"].as<std::vector<std::string>>()) {
            settings.entries.push_back(parse_endpoint(text));
        }
        settings.deployment_key = read_key(values["key-file"].as<std::string>());
        settings.agents = values["agents"].as<std::size_t>();
        settings.run_time = milliseconds(values["run-ms"].as<std::int64_t>());
        settings.duration = std::chrono::seconds(values["seconds"].as<std::int64_t>());
        egretstile::set_log_level(egretstile::log_level::error);
        fleet_run(settings).run();
        return EXIT_SUCCESS;
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n' << description;
        return EXIT_FAILURE;
    }
}
