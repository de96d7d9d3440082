#include "agent/agent_process.hpp"
#include "entry/entry_process.hpp"
#include "jobs/job_agent_process.hpp"
#include "jobs/job_entry_process.hpp"
#include "net/signal_listener.hpp"
#include "settings/settings_loader.hpp"
#include "settings/settings_watch.hpp"

#include <egretstile/platform/http_platform_access.hpp>
#include <egretstile/runtime/telemetry/bounded_output.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <boost/program_options.hpp>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace egretstile;
using namespace egretstile::daemon;

constexpr int exit_usage = 2;
/// The settings file is polled, because the platform may change it without sending a signal.
constexpr milliseconds settings_check_interval{1000};

const char* const usage =
    "Usage:\n"
    "  egretstiled entry --settings FILE             run on an entry VM\n"
    "  egretstiled agent --settings FILE             run beside an upstream and a worker\n"
    "  egretstiled job-entry [--settings FILE]       accept jobs on the organisation's platform\n"
    "  egretstiled job-agent [--settings FILE]       run beside a task runner of that platform\n"
    "  egretstiled check-settings ROLE FILE          check a settings file\n"
    "  egretstiled print-defaults ROLE               print a settings file with all defaults\n"
    "Roles: entry, agent, job-entry, job-agent. Without --settings, the job roles read the file "
    "that\n"
    "EGRETSTILE_SETTINGS names.\n"
    "Example: egretstiled entry --settings /etc/egretstile/entry.toml\n"
    "Exit codes: 0 done, 1 failed, 2 wrong usage or settings\n";

int print_errors(const std::vector<settings_error>& errors) {
    for (const settings_error& error : errors) {
        std::cerr << to_string(error) << '\n';
    }
    return exit_usage;
}

/// Runs a process until it has stopped after SIGTERM or SIGINT.
template <typename Process, typename Settings>
int run_process(Settings settings) {
    signal_listener signal;
    const std::optional<log_level> level = value_of(log_level_names, settings.common.log_level);
    set_log_level(level.value_or(log_level::info));
    try {
        Process process(std::move(settings));
        signal.listen([&process] { process.request_stop(); });
        process.run();
        return EXIT_SUCCESS;
    } catch (const Poco::Exception& error) {
        write_log(log_part::process, log_level::error, "Cannot start.",
                  "reason=\"" + error.displayText() + "\"");
        return EXIT_FAILURE;
    }
}

int run_entry(const std::string& file) {
    std::variant<entry_settings, std::vector<settings_error>> loaded = load_entry_settings(file);
    if (const std::vector<settings_error>* const errors =
            std::get_if<std::vector<settings_error>>(&loaded)) {
        return print_errors(*errors);
    }
    return run_process<entry_process>(std::move(std::get<entry_settings>(loaded)));
}

int run_agent(const std::string& file) {
    std::variant<agent_settings, std::vector<settings_error>> loaded = load_agent_settings(file);
    if (const std::vector<settings_error>* const errors =
            std::get_if<std::vector<settings_error>>(&loaded)) {
        return print_errors(*errors);
    }
    return run_process<agent_process>(std::move(std::get<agent_settings>(loaded)));
}

/// Applies the log level of a changed settings file. All other settings apply at the next start.
template <typename Settings>
void reload_settings(const std::variant<Settings, std::vector<settings_error>>& loaded) {
    if (const std::vector<settings_error>* const errors =
            std::get_if<std::vector<settings_error>>(&loaded)) {
        write_log(log_part::settings, log_level::warning,
                  "The settings file has errors; keeping the current settings.",
                  "first=\"" + to_string(errors->front()) + "\"");
        return;
    }
    const std::string& level = std::get<Settings>(loaded).common.log_level;
    set_log_level(value_of(log_level_names, level).value_or(log_level::info));
    write_log(log_part::settings, log_level::info, "Reloaded the settings file.",
              "log_level=" + level);
}

/// Runs a process of the organisation's platform until it has stopped after SIGTERM or SIGINT. Its
/// settings file is reloaded at SIGHUP, and when a periodic check finds that it has changed.
template <typename Process, typename Settings>
int run_job_process(const std::string& file, std::variant<Settings, std::vector<settings_error>> (
                                                 *load)(const std::string&)) {
    const std::variant<Settings, std::vector<settings_error>> loaded = load(file);
    if (const std::vector<settings_error>* const errors =
            std::get_if<std::vector<settings_error>>(&loaded)) {
        return print_errors(*errors);
    }
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    signal_listener signal;
    bounded_output output(STDOUT_FILENO);
    const redirected_stream redirected(std::cerr, output);
    const Settings& settings = std::get<Settings>(loaded);
    set_log_level(value_of(log_level_names, settings.common.log_level).value_or(log_level::info));
    try {
        const egretstile::platform::http_platform_access platform;
        Process process(settings, platform, output);
        settings_watch watch(file);
        process.call_every(settings_check_interval, [&watch, &file, load] {
            if (watch.check_for_change()) {
                reload_settings(load(file));
            }
        });
        signal.listen([&process] { process.request_stop(); },
                      [&file, load] { reload_settings(load(file)); });
        process.run();
        return EXIT_SUCCESS;
    } catch (const Poco::Exception& error) {
        write_log(log_part::process, log_level::error, "Cannot start.",
                  "reason=\"" + error.displayText() + "\"");
        return EXIT_FAILURE;
    }
}

template <typename Settings>
int report_validity(const std::variant<Settings, std::vector<settings_error>>& loaded) {
    if (const std::vector<settings_error>* const errors =
            std::get_if<std::vector<settings_error>>(&loaded)) {
        return print_errors(*errors);
    }
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
}

int check_settings(const std::string& role, const std::string& file) {
    if (role == "entry") {
        return report_validity(load_entry_settings(file));
    }
    if (role == "agent") {
        return report_validity(load_agent_settings(file));
    }
    if (role == "job-entry") {
        return report_validity(load_job_entry_settings(file));
    }
    if (role == "job-agent") {
        return report_validity(load_job_agent_settings(file));
    }
    std::cerr << usage;
    return exit_usage;
}

int print_role_defaults(const std::string& role) {
    const std::optional<process_role> parsed_role = value_of(process_role_names, role);
    if (!parsed_role) {
        std::cerr << usage;
        return exit_usage;
    }
    std::cout << print_defaults(*parsed_role);
    return EXIT_SUCCESS;
}

int run_command(const options::variables_map& values) {
    const std::vector<std::string> arguments =
        values.count("command") == 0 ? std::vector<std::string>()
                                     : values["command"].as<std::vector<std::string>>();
    if (arguments.size() == 3 && arguments[0] == "check-settings") {
        return check_settings(arguments[1], arguments[2]);
    }
    if (arguments.size() == 2 && arguments[0] == "print-defaults") {
        return print_role_defaults(arguments[1]);
    }
    const char* const environment_file = std::getenv("EGRETSTILE_SETTINGS");
    if (arguments.size() == 1 && (values.count("settings") != 0 || environment_file != nullptr)) {
        const std::string file =
            values.count("settings") != 0 ? values["settings"].as<std::string>() : environment_file;
        if (arguments[0] == "job-entry") {
            return run_job_process<job_entry_process>(file, load_job_entry_settings);
        }
        if (arguments[0] == "job-agent") {
            return run_job_process<job_agent_process>(file, load_job_agent_settings);
        }
        if (arguments[0] == "entry") {
            return run_entry(file);
        }
        if (arguments[0] == "agent") {
            return run_agent(file);
        }
    }
    std::cerr << usage;
    return exit_usage;
}

} // namespace

int main(int argc, char** argv) {
    options::options_description option_descriptions;
    option_descriptions.add_options()("help", "")("settings", options::value<std::string>())(
        "command", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("command", -1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv)
                           .options(option_descriptions)
                           .positional(positional)
                           .run(),
                       values);
        if (values.count("help") != 0) {
            std::cout << usage;
            return EXIT_SUCCESS;
        }
        return run_command(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n' << usage;
        return exit_usage;
    }
}
