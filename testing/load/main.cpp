#include "load_report.hpp"
#include "load_settings.hpp"
#include "request_load.hpp"
#include "task_load.hpp"

#include <Poco/Exception.h>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>

namespace {

using namespace egretstile::load;
namespace options = boost::program_options;

struct unconverted_settings {
    std::int64_t duration_s{10};
    std::int64_t deadline_ms{2000};
    std::int64_t follow_s{0};
};

void add_options(options::options_description& description, load_settings& settings,
                 unconverted_settings& unconverted) {
    auto add = description.add_options();
    add("host", options::value(&settings.host), "host of the entries");
    add("port", options::value(&settings.ports)->composing()->required(), "callers' port");
    add("prefix", options::value(&settings.prefix), "prefix of request ids and task keys");
    add("seconds", options::value(&unconverted.duration_s), "duration of sending in seconds");
    add("max-count", options::value(&settings.max_count),
        "maximum number of requests and of tasks");
    add("service", options::value(&settings.requests.service), "service to request");
    add("rate", options::value(&settings.requests.rate), "requests a second");
    add("threads", options::value(&settings.requests.threads), "connections for requests");
    add("idempotent", options::value(&settings.requests.idempotent),
        "whether requests are idempotent");
    add("deadline-ms", options::value(&unconverted.deadline_ms), "deadline of requests");
    add("body-bytes", options::value(&settings.requests.body_bytes),
        "minimum size of request bodies");
    add("task-rate", options::value(&settings.tasks.rate), "task submissions a second");
    add("task-threads", options::value(&settings.tasks.threads), "connections for tasks");
    add("task-kind", options::value(&settings.tasks.kind), "kind of tasks");
    add("task-priority", options::value(&settings.tasks.priority), "normal or urgent");
    add("task-team", options::value(&settings.tasks.team), "team of tasks");
    add("task-idempotent", options::value(&settings.tasks.idempotent),
        "whether tasks are idempotent");
    add("task-cpu-millicores", options::value(&settings.tasks.cpu_millicores),
        "processor need of a task");
    add("task-memory-mb", options::value(&settings.tasks.memory_mb), "memory need of a task");
    add("task-work-ms", options::value(&settings.tasks.work_ms),
        "work of each task in milliseconds");
    add("follow-seconds", options::value(&unconverted.follow_s), "time to wait for final states");
}

load_settings parse(int argc, char** argv) {
    load_settings settings;
    unconverted_settings unconverted;
    options::options_description description("egretstile-load");
    add_options(description, settings, unconverted);
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    settings.duration = std::chrono::seconds(unconverted.duration_s);
    settings.requests.deadline = std::chrono::milliseconds(unconverted.deadline_ms);
    settings.tasks.follow = std::chrono::seconds(unconverted.follow_s);
    apply_limits(settings);
    return settings;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const load_settings settings = parse(argc, argv);
        load_report requests;
        load_report tasks;
        std::thread task_thread([&] { run_tasks(settings, tasks); });
        run_requests(settings, requests);
        task_thread.join();
        std::cout << R"({"requests":)" << requests.to_json() << R"(,"tasks":)" << tasks.to_json()
                  << "}\n";
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << "load: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
