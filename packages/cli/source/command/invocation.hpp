#pragma once

#include "command/http_client.hpp"

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace egretstile::cli {

enum class output_format : std::uint8_t { table, json };

inline constexpr std::array<enum_name<output_format>, 2> output_format_names{
    {{output_format::table, "table"}, {output_format::json, "json"}}};

enum class command_id : std::uint8_t {
    sheet_check,
    sheet_diff,
    sheet_apply,
    domain_out,
    domain_in,
    submit,
    cancel,
    task,
    status,
    explain,
    upstream_drain,
    upstream_undrain,
    trace,
    logs,
    job_state,
    job_explain
};

/// Server that a command calls, which determines the address and token options that it needs.
enum class command_target : std::uint8_t { local, operators, callers, job_entry };

/// Description of a command for parsing and help.
struct command_info {
    command_id id{command_id::status};
    std::string_view name;
    /// Placeholder of the operand in the help; empty when the command takes none.
    std::string_view operand;
    command_target target{command_target::operators};
    std::string_view help;
    std::string_view example;
};

/// All commands, in the order in which the help lists them. Thread-safe.
const std::vector<command_info>& all_commands();

/// A parsed command line.
struct invocation {
    command_id command{command_id::status};
    std::string operand;
    /// All operands; only `logs` accepts several, and `operand` is then the last one.
    std::vector<std::string> operands;
    /// Option of `logs`: the job whose timeline is shown; empty for all lines.
    std::string job;
    output_format output{output_format::table};
    server_address server;
    /// Contents of the token file.
    std::string token;
    bool confirm_removals{false};
    /// Task of `submit`; its key is the operand.
    task_spec task;
};

struct usage_error {
    std::string message;
};

struct help_request {
    std::string text;
};

/// Parses the arguments after the program's name and reads the token file. Thread-safe.
std::variant<invocation, usage_error, help_request>
parse_arguments(const std::vector<std::string>& arguments);

} // namespace egretstile::cli
