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

/// Which settings a command needs.
enum class command_target : std::uint8_t { local, operators, callers, job_entry };

/// A command as it stands on the command line.
struct command_info {
    command_id id{command_id::status};
    std::string_view name;
    /// Name of the operand; empty when there is none.
    std::string_view operand;
    command_target target{command_target::operators};
    std::string_view help;
    std::string_view example;
};

/// All commands, in the order of the help.
const std::vector<command_info>& all_commands();

/// A parsed command line.
struct invocation {
    command_id command{command_id::status};
    std::string operand;
    /// All operands; only `logs` takes several.
    std::vector<std::string> operands;
    /// Of `logs`: only this job's timeline; empty: all lines.
    std::string job;
    output_format output{output_format::table};
    server_address server;
    /// Contents of the token file.
    std::string token;
    bool confirm_removals{false};
    /// Of `submit`; its key is the operand.
    task_spec task;
};

struct usage_error {
    std::string message;
};

struct help_request {
    std::string text;
};

/// Parses the arguments after the program's name; reads the token file. Thread-safe.
std::variant<invocation, usage_error, help_request>
parse_arguments(const std::vector<std::string>& arguments);

} // namespace egretstile::cli
