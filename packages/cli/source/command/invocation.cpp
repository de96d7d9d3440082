#include "command/invocation.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <system_error>

namespace egretstile::cli {

namespace {

namespace options = boost::program_options;

struct argument_error {
    std::string message;
};

options::options_description global_options() {
    options::options_description description("Options");
    description.add_options()("help", "print this help, or the help of the command")(
        "entry", options::value<std::string>()->value_name("HOST:PORT"),
        "operators' port of any entry")("callers",
                                        options::value<std::string>()->value_name("HOST:PORT"),
                                        "callers' port of any entry")(
        "job-entry", options::value<std::string>()->value_name("HOST:PORT"),
        "metrics port of a job entry on the organisation's platform")(
        "token-file", options::value<std::string>()->value_name("FILE"),
        "file with the operators' token")(
        "output", options::value<std::string>()->value_name("table|json")->default_value("table"),
        "output format");
    return description;
}

options::options_description apply_options() {
    options::options_description description("Options of sheet diff and sheet apply");
    description.add_options()("confirm-removals",
                              "accept a sheet that removes more rows than the limit allows");
    return description;
}

options::options_description submit_options() {
    options::options_description description("Options of submit");
    description.add_options()("kind",
                              options::value<std::string>()->default_value("reconciliation"),
                              "reconciliation, notice, schedule or watch")(
        "priority", options::value<std::string>()->default_value("normal"), "normal or urgent")(
        "team", options::value<std::string>()->default_value(""), "team whose quota the task uses")(
        "cpu-millicores", options::value<std::int64_t>()->default_value(1000),
        "processors")("memory-mb", options::value<std::int64_t>()->default_value(1000), "memory")(
        "accelerators", options::value<std::int64_t>()->default_value(0), "accelerators")(
        "run-time-ms", options::value<std::int64_t>()->default_value(0),
        "expected run time in milliseconds")("idempotent",
                                             "the task may run again when its outcome is unknown")(
        "payload", options::value<std::string>()->default_value(""),
        "text that the worker receives");
    return description;
}

options::options_description logs_options() {
    options::options_description description("Options of logs");
    description.add_options()(
        "job", options::value<std::string>()->default_value("")->value_name("ID"),
        "only the lines of this job and the context logged around them, with a summary");
    return description;
}

bool is_sheet_change(command_id command) {
    return command == command_id::sheet_apply || command == command_id::sheet_diff;
}

options::options_description options_of(command_id command) {
    options::options_description description = global_options();
    if (is_sheet_change(command)) {
        description.add(apply_options());
    } else if (command == command_id::submit) {
        description.add(submit_options());
    } else if (command == command_id::logs) {
        description.add(logs_options());
    }
    return description;
}

std::string usage_line(const command_info& command) {
    std::string line = "egretstile [OPTION...] " + std::string(command.name);
    return command.operand.empty() ? line : line + " " + std::string(command.operand);
}

std::string general_help() {
    std::ostringstream text;
    text << "Usage: egretstile [OPTION...] COMMAND\n\nCommands:\n";
    for (const command_info& command : all_commands()) {
        std::string command_column = std::string(command.name) + " " + std::string(command.operand);
        constexpr std::size_t width = 24;
        command_column.resize(std::max(width, command_column.size() + 1), ' ');
        text << "  " << command_column << command.help << "\n";
    }
    text << "\n"
         << global_options()
         << "\nExit codes: 0 done; 1 refused, nothing changed; 2 wrong command line; 3 no entry "
            "reachable,\nnothing changed; 4 outcome unknown, repeat the command.\n"
            "\n`egretstile COMMAND --help` shows a command's options and an example.\n";
    return text.str();
}

std::string command_help(const command_info& command) {
    std::ostringstream text;
    text << "Usage: " << usage_line(command) << "\n\n"
         << command.help << "\n\n"
         << options_of(command.id) << "\nExample:\n  " << command.example << "\n";
    return text.str();
}

const command_info* find_command(const std::vector<std::string>& positional) {
    const std::string first = positional.empty() ? "" : positional[0];
    const std::string first_two = positional.size() < 2 ? first : first + " " + positional[1];
    for (const command_info& command : all_commands()) {
        if (command.name == first || command.name == first_two) {
            return &command;
        }
    }
    return nullptr;
}

std::size_t name_word_count(const command_info& command) {
    return command.name.find(' ') == std::string_view::npos ? 1 : 2;
}

/// Arguments that are neither options nor values of options.
std::vector<std::string> positional_arguments(const options::parsed_options& parsed) {
    return options::collect_unrecognized(parsed.options, options::include_positional);
}

/// Does not accept abbreviated options: adding an option could otherwise change the meaning of an
/// abbreviation in an existing script.
constexpr int parser_style =
    options::command_line_style::default_style & ~options::command_line_style::allow_guessing;

options::parsed_options parse(const std::vector<std::string>& arguments,
                              const options::options_description& description) {
    return options::command_line_parser(arguments).options(description).style(parser_style).run();
}

std::string read_token(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw argument_error{"--token-file " + path + " cannot be read"};
    }
    std::string token;
    std::string rest;
    if (!(file >> token) || file >> rest) {
        throw argument_error{"--token-file " + path + " must contain exactly one word"};
    }
    return token;
}

server_address parse_address(const std::string& option, const std::string& text) {
    const std::size_t colon = text.rfind(':');
    const std::string_view port =
        colon == std::string::npos ? std::string_view() : std::string_view(text).substr(colon + 1);
    server_address address;
    const char* const end = port.data() + port.size();
    const std::from_chars_result result = std::from_chars(port.data(), end, address.port);
    if (colon == 0 || result.ec != std::errc() || result.ptr != end || address.port == 0) {
        throw argument_error{"--" + option + " must be HOST:PORT, but is \"" + text + "\""};
    }
    address.host = text.substr(0, colon);
    if (address.host.front() == '[' && address.host.back() == ']') {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    return address;
}

template <typename Enum, std::size_t Size>
Enum enum_option(const options::variables_map& values, const std::string& option,
                 const std::array<enum_name<Enum>, Size>& table) {
    const std::string& text = values[option].as<std::string>();
    const std::optional<Enum> value = value_of(table, text);
    if (value) {
        return *value;
    }
    std::string allowed_values;
    for (const enum_name<Enum>& row : table) {
        allowed_values += (allowed_values.empty() ? "" : ", ") + std::string(row.name);
    }
    throw argument_error{"--" + option + " must be one of " + allowed_values + ", but is \"" +
                         text + "\""};
}

std::int64_t non_negative_option(const options::variables_map& values, const std::string& option) {
    const std::int64_t value = values[option].as<std::int64_t>();
    if (value < 0) {
        throw argument_error{"--" + option + " must be at least 0"};
    }
    return value;
}

task_spec task_from_options(const options::variables_map& values, const std::string& key) {
    task_spec task;
    task.key = key;
    task.kind = enum_option(values, "kind", task_kind_names);
    task.priority = enum_option(values, "priority", task_priority_names);
    task.team = values["team"].as<std::string>();
    task.need = {non_negative_option(values, "cpu-millicores"),
                 non_negative_option(values, "memory-mb"),
                 non_negative_option(values, "accelerators")};
    task.idempotent = values.count("idempotent") != 0;
    task.declared_run_time = milliseconds(non_negative_option(values, "run-time-ms"));
    task.payload = values["payload"].as<std::string>();
    return task;
}

/// Name of the option with the address of the server that a command calls.
std::string address_option(command_target target) {
    switch (target) {
    case command_target::operators:
        return "entry";
    case command_target::callers:
        return "callers";
    case command_target::job_entry:
        return "job-entry";
    case command_target::local:
        break;
    }
    return "";
}

server_address server_of(const options::variables_map& values, const command_info& command) {
    if (command.target == command_target::local) {
        return {};
    }
    const std::string option = address_option(command.target);
    if (values.count(option) == 0) {
        throw argument_error{"--" + option + " HOST:PORT is missing"};
    }
    return parse_address(option, values[option].as<std::string>());
}

std::string token_of(const options::variables_map& values, const command_info& command) {
    if (command.target != command_target::operators) {
        return {};
    }
    if (values.count("token-file") == 0) {
        throw argument_error{"--token-file FILE is missing"};
    }
    return read_token(values["token-file"].as<std::string>());
}

invocation build_invocation(const command_info& command, const std::vector<std::string>& positional,
                            const options::variables_map& values) {
    const std::size_t operand_count = positional.size() - name_word_count(command);
    const std::size_t required_operands = command.operand.empty() ? 0 : 1;
    const bool accepts_several = command.id == command_id::logs;
    if ((accepts_several ? operand_count < required_operands
                         : operand_count != required_operands) ||
        (required_operands == 1 && positional.back().empty())) {
        throw argument_error{"usage: " + usage_line(command)};
    }
    invocation result;
    result.command = command.id;
    result.operand = required_operands == 1 ? positional.back() : std::string();
    result.operands.assign(std::prev(positional.end(), static_cast<std::ptrdiff_t>(operand_count)),
                           positional.end());
    result.output = enum_option(values, "output", output_format_names);
    result.server = server_of(values, command);
    result.token = token_of(values, command);
    result.confirm_removals = is_sheet_change(command.id) && values.count("confirm-removals") != 0;
    if (command.id == command_id::logs) {
        result.job = values["job"].as<std::string>();
    }
    if (command.id == command_id::submit) {
        result.task = task_from_options(values, result.operand);
    }
    return result;
}

/// Positional arguments of the command line. Parses with the options of all commands, so that the
/// value of an option is not mistaken for a positional argument.
std::vector<std::string> parse_positional_arguments(const std::vector<std::string>& arguments) {
    options::options_description all = global_options();
    all.add(apply_options()).add(submit_options()).add(logs_options());
    return positional_arguments(parse(arguments, all));
}

} // namespace

const std::vector<command_info>& all_commands() {
    static const std::vector<command_info> commands{
        {command_id::sheet_check, "sheet check", "FILE", command_target::local,
         "check a sheet without sending it", "egretstile sheet check examples/tuul.csv"},
        {command_id::sheet_diff, "sheet diff", "FILE", command_target::operators,
         "show what a sheet would change",
         "egretstile --entry 127.0.0.1:8081 --token-file token sheet diff examples/tuul.csv"},
        {command_id::sheet_apply, "sheet apply", "FILE", command_target::operators,
         "replace the plan with a sheet; repeating it is safe",
         "egretstile --entry 127.0.0.1:8081 --token-file token sheet apply examples/tuul.csv "
         "--confirm-removals"},
        {command_id::domain_out, "domain out", "NAME", command_target::operators,
         "take a failure domain out of service",
         "egretstile --entry 127.0.0.1:8081 --token-file token domain out ub-north"},
        {command_id::domain_in, "domain in", "NAME", command_target::operators,
         "bring a failure domain back into service",
         "egretstile --entry 127.0.0.1:8081 --token-file token domain in ub-north"},
        {command_id::submit, "submit", "KEY", command_target::callers,
         "submit an exclusive task; repeating it with the same key is safe",
         "egretstile --callers 127.0.0.1:8080 submit merge-17 --team survey --memory-mb 4000"},
        {command_id::cancel, "cancel", "KEY", command_target::callers, "cancel a task",
         "egretstile --callers 127.0.0.1:8080 cancel merge-17"},
        {command_id::task, "task", "KEY", command_target::callers, "show a task's state",
         "egretstile --callers 127.0.0.1:8080 --output json task merge-17"},
        {command_id::status, "status", "", command_target::operators,
         "show the state of the deployment",
         "egretstile --entry 127.0.0.1:8081 --token-file token status"},
        {command_id::explain, "explain", "KEY", command_target::operators,
         "show why a task waits or where it runs",
         "egretstile --entry 127.0.0.1:8081 --token-file token explain merge-17"},
        {command_id::upstream_drain, "upstream drain", "VM", command_target::operators,
         "let a VM finish its work and admit no new work",
         "egretstile --entry 127.0.0.1:8081 --token-file token upstream drain vm-3"},
        {command_id::upstream_undrain, "upstream undrain", "VM", command_target::operators,
         "let a drained VM admit work again",
         "egretstile --entry 127.0.0.1:8081 --token-file token upstream undrain vm-3"},
        {command_id::trace, "trace", "FILE", command_target::local,
         "print the traces of a trace file as trees", "egretstile trace entry-trace.jsonl"},
        {command_id::logs, "logs", "FILE...", command_target::local,
         "merge the logs of several processes into one timeline",
         "egretstile logs edge-1.log edge-2.log --job 5a4db88cbe76905b"},
        {command_id::job_state, "job-state", "", command_target::job_entry,
         "show leader, configuration, queues and VMs as seen by one job entry",
         "egretstile --job-entry 10.1.0.13:9464 job-state"},
        {command_id::job_explain, "job-explain", "ID", command_target::job_entry,
         "show where a job runs and what it waits for; --job-entry must name the leader's entry",
         "egretstile --job-entry 10.1.0.13:9464 job-explain 5a4db88cbe76905b"}};
    return commands;
}

std::variant<invocation, usage_error, help_request>
parse_arguments(const std::vector<std::string>& arguments) {
    try {
        const std::vector<std::string> positional = parse_positional_arguments(arguments);
        const command_info* const command = find_command(positional);
        if (command == nullptr) {
            const bool help_requested =
                std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
            if (help_requested && positional.empty()) {
                return help_request{general_help()};
            }
            return usage_error{positional.empty() ? "a command is missing; see egretstile --help"
                                                  : "unknown command \"" + positional[0] +
                                                        "\"; see egretstile --help"};
        }
        options::variables_map values;
        options::store(parse(arguments, options_of(command->id)), values);
        if (values.count("help") != 0) {
            return help_request{command_help(*command)};
        }
        return build_invocation(*command, positional, values);
    } catch (const argument_error& error) {
        return usage_error{error.message};
    } catch (const options::error& error) {
        return usage_error{error.what()};
    }
}

} // namespace egretstile::cli
