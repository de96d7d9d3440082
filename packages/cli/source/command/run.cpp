#include "command/run.hpp"

#include "command/invocation.hpp"
#include "command/log_timeline.hpp"
#include "command/response_formatter.hpp"
#include "command/trace_tree.hpp"

#include <egretstile/sheet/report/sheet_report.hpp>
#include <egretstile/sheet/sheet/sheet_reader.hpp>

#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <variant>

namespace egretstile::cli {

namespace {

struct streams {
    std::ostream& output;
    std::ostream& errors;
};

std::string escaped(const std::string& path_segment) {
    std::string result;
    Poco::URI::encode(path_segment, "/?#&=+;:@!$'()*,[]", result);
    return result;
}

std::string submit_body(const task_spec& task) {
    Poco::JSON::Object need;
    need.set("cpu_millicores", task.need.cpu_millicores);
    need.set("memory_mb", task.need.memory_mb);
    need.set("accelerators", task.need.accelerators);
    Poco::JSON::Object object;
    object.set("key", task.key);
    object.set("kind", std::string(name_of(task_kind_names, task.kind)));
    object.set("priority", std::string(name_of(task_priority_names, task.priority)));
    object.set("team", task.team);
    object.set("need", need);
    object.set("idempotent", task.idempotent);
    object.set("declared_run_time_ms", static_cast<Poco::Int64>(task.declared_run_time.count()));
    object.set("payload", task.payload);
    std::ostringstream body;
    object.stringify(body);
    return body.str();
}

/// Request of a command that makes a single call and prints its response without interpreting it.
http_request request_of(const invocation& command_line) {
    http_request request;
    request.server = command_line.server;
    request.token = command_line.token;
    const std::string operand = escaped(command_line.operand);
    switch (command_line.command) {
    case command_id::domain_out:
        request.method = "POST";
        request.path = "/v1/domains/" + operand + "/out";
        break;
    case command_id::domain_in:
        request.method = "POST";
        request.path = "/v1/domains/" + operand + "/in";
        break;
    case command_id::submit:
        request.method = "POST";
        request.path = "/v1/tasks";
        request.content_type = "application/json";
        request.body = submit_body(command_line.task);
        break;
    case command_id::cancel:
        request.method = "DELETE";
        request.path = "/v1/tasks/" + operand;
        break;
    case command_id::task:
        request.path = "/v1/tasks/" + operand;
        break;
    case command_id::explain:
        request.path = "/v1/tasks/" + operand + "/explain";
        break;
    case command_id::upstream_drain:
        request.method = "POST";
        request.path = "/v1/upstreams/" + operand + "/drain";
        break;
    case command_id::upstream_undrain:
        request.method = "POST";
        request.path = "/v1/upstreams/" + operand + "/undrain";
        break;
    case command_id::job_state:
        request.path = "/v1/state";
        break;
    case command_id::job_explain:
        request.path = "/v1/jobs/" + operand;
        break;
    default:
        request.path = "/v1/status";
        break;
    }
    return request;
}

exit_code report_failure(const http_failure& failure, bool read_only, std::ostream& errors) {
    if (failure.kind == http_failure_kind::not_sent) {
        errors << "No connection: " << failure.reason << ". Nothing was changed.\n";
        return exit_code::not_reachable;
    }
    if (read_only) {
        errors << "No response: " << failure.reason << ".\n";
        return exit_code::not_reachable;
    }
    errors << "No response: " << failure.reason
           << ". The outcome is unknown; repeating the command is safe.\n";
    return exit_code::unknown;
}

exit_code run_call(const invocation& command_line, http_client& client, const streams& out) {
    const http_request request = request_of(command_line);
    const bool read_only = request.method == "GET";
    const std::variant<http_response, http_failure> result = client.send(request);
    if (const http_failure* const failure = std::get_if<http_failure>(&result)) {
        return report_failure(*failure, read_only, out.errors);
    }
    const http_response& response = std::get<http_response>(result);
    const exit_code code = exit_code_of(response, read_only);
    out.output << (command_line.output == output_format::json ? response.body + "\n"
                                                              : describe_json(response.body));
    if (code == exit_code::refused) {
        out.errors << "Refused with HTTP status " << response.status << ".\n";
    } else if (code == exit_code::unknown) {
        out.errors << "The outcome is unknown; repeating the command is safe.\n";
    }
    return code;
}

std::optional<std::string> read_file(const std::string& path, std::ostream& errors) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        errors << "File " << path << " cannot be read.\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

void print_report(const sheet_report& report, const invocation& command_line,
                  std::ostream& output) {
    output << (command_line.output == output_format::json ? to_json(report) + "\n"
                                                          : describe(report));
}

exit_code exit_code_of_report(const sheet_report& report) {
    switch (report.outcome) {
    case sheet_outcome::accepted:
    case sheet_outcome::unchanged:
        return exit_code::done;
    case sheet_outcome::refused:
        return exit_code::refused;
    case sheet_outcome::unknown:
        break;
    }
    return exit_code::unknown;
}

/// Returns whether the sheet is valid; prints its errors when it is not.
bool check_sheet(const std::string& text, const invocation& command_line, const streams& out) {
    const std::variant<sheet_document, std::vector<sheet_error>> result = read_sheet(text);
    const std::vector<sheet_error>* const sheet_errors =
        std::get_if<std::vector<sheet_error>>(&result);
    if (sheet_errors == nullptr) {
        return true;
    }
    if (command_line.output == output_format::json) {
        sheet_report report;
        report.outcome = sheet_outcome::refused;
        report.errors = *sheet_errors;
        out.output << to_json(report) << "\n";
    } else {
        for (const sheet_error& found : *sheet_errors) {
            out.output << to_string(found) << "\n";
        }
    }
    out.errors << "The sheet has " << sheet_errors->size() << " errors; nothing was sent.\n";
    return false;
}

/// Sends the sheet to the entry; in a dry run the entry only reports what would change.
exit_code send_sheet(const std::string& text, bool is_dry_run, const invocation& command_line,
                     http_client& client, const streams& out) {
    http_request request;
    request.server = command_line.server;
    request.token = command_line.token;
    request.method = "POST";
    request.path = std::string("/v1/sheet?confirm_removals=") +
                   (command_line.confirm_removals ? "1" : "0") + (is_dry_run ? "&dry_run=1" : "");
    request.content_type = "text/csv";
    request.body = text;
    const std::variant<http_response, http_failure> result = client.send(request);
    if (const http_failure* const failure = std::get_if<http_failure>(&result)) {
        return report_failure(*failure, is_dry_run, out.errors);
    }
    const http_response& response = std::get<http_response>(result);
    const std::optional<sheet_report> report = parse_sheet_report(response.body);
    if (!report) {
        out.errors << "HTTP status " << response.status
                   << " without a valid report: " << response.body << "\n";
        const exit_code code = exit_code_of(response, is_dry_run);
        // A success status without a valid report does not prove that the sheet was applied.
        return code == exit_code::done ? exit_code::unknown : code;
    }
    print_report(*report, command_line, out.output);
    return exit_code_of_report(*report);
}

exit_code run_sheet(const invocation& command_line, http_client& client, const streams& out) {
    const std::optional<std::string> text = read_file(command_line.operand, out.errors);
    if (!text) {
        return exit_code::usage;
    }
    if (!check_sheet(*text, command_line, out)) {
        return exit_code::refused;
    }
    if (command_line.command == command_id::sheet_check) {
        out.output << (command_line.output == output_format::json ? "{\"errors\":[]}\n"
                                                                  : "no errors\n");
        return exit_code::done;
    }
    return send_sheet(*text, command_line.command == command_id::sheet_diff, command_line, client,
                      out);
}

exit_code run_trace(const invocation& command_line, const streams& out) {
    std::ifstream file(command_line.operand);
    if (!file) {
        out.errors << "File " << command_line.operand << " cannot be read.\n";
        return exit_code::usage;
    }
    const trace_tree tree = read_trace(file);
    out.output << tree.text;
    if (tree.skipped_lines != 0) {
        out.errors << "Skipped " << tree.skipped_lines << " lines that are not OTLP/JSON.\n";
    }
    return tree.spans == 0 ? exit_code::refused : exit_code::done;
}

exit_code run_logs(const invocation& command_line, const streams& out) {
    log_timeline timeline;
    for (const std::string& path : command_line.operands) {
        std::ifstream file(path);
        if (!file) {
            out.errors << "File " << path << " cannot be read.\n";
            return exit_code::usage;
        }
        timeline.read(file, path);
    }
    if (!command_line.job.empty()) {
        timeline = timeline.filter_by_job(command_line.job);
    }
    const bool as_json = command_line.output == output_format::json;
    out.output << (as_json ? to_json(timeline) : describe(timeline));
    if (timeline.skipped() != 0) {
        out.errors << "Skipped " << timeline.skipped() << " lines that are not log lines.\n";
    }
    if (timeline.lines().empty()) {
        out.errors << (command_line.job.empty()
                           ? "No log line was found.\n"
                           : "No log line names job " + command_line.job + ".\n");
        return exit_code::refused;
    }
    if (!command_line.job.empty() && !as_json) {
        out.output << "\n" << summarize_job(timeline, command_line.job);
    }
    return exit_code::done;
}

exit_code run_command(const invocation& command_line, http_client& client, const streams& out) {
    switch (command_line.command) {
    case command_id::sheet_check:
    case command_id::sheet_diff:
    case command_id::sheet_apply:
        return run_sheet(command_line, client, out);
    case command_id::trace:
        return run_trace(command_line, out);
    case command_id::logs:
        return run_logs(command_line, out);
    default:
        return run_call(command_line, client, out);
    }
}

} // namespace

exit_code run(const std::vector<std::string>& arguments, http_client& client, std::ostream& output,
              std::ostream& errors) {
    const std::variant<invocation, usage_error, help_request> parsed = parse_arguments(arguments);
    if (const usage_error* const error = std::get_if<usage_error>(&parsed)) {
        errors << error->message << "\n";
        return exit_code::usage;
    }
    if (const help_request* const help = std::get_if<help_request>(&parsed)) {
        output << help->text;
        return exit_code::done;
    }
    return run_command(std::get<invocation>(parsed), client, {output, errors});
}

} // namespace egretstile::cli
