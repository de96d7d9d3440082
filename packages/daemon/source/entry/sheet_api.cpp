#include "entry/sheet_api.hpp"

#include "entry/entry_process.hpp"
#include "net/loop_call.hpp"

#include <egretstile/core/plan/plan_diff.hpp>
#include <egretstile/core/plan/plan_edit.hpp>
#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/sheet/report/sheet_report.hpp>
#include <egretstile/sheet/sheet/sheet_reader.hpp>
#include <egretstile/sheet/sheet/sheet_writer.hpp>

#include <Poco/UUIDGenerator.h>

#include <functional>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace egretstile::daemon {

namespace {

constexpr milliseconds loop_timeout{1000};

int status_of(sheet_outcome outcome) {
    switch (outcome) {
    case sheet_outcome::accepted:
    case sheet_outcome::unchanged:
        return 200;
    case sheet_outcome::refused:
        return 409;
    case sheet_outcome::unknown:
        return 504;
    }
    return 504;
}

http_answer to_answer(const sheet_report& report) {
    return {status_of(report.outcome), "application/json", {}, to_json(report)};
}

sheet_outcome to_sheet_outcome(change_outcome outcome) {
    switch (outcome) {
    case change_outcome::accepted:
        return sheet_outcome::accepted;
    case change_outcome::unchanged:
        return sheet_outcome::unchanged;
    case change_outcome::unknown:
        return sheet_outcome::unknown;
    case change_outcome::conflict:
    case change_outcome::unavailable:
        return sheet_outcome::refused;
    }
    return sheet_outcome::unknown;
}

sheet_error whole_sheet_error(const std::string& message) {
    return {0, "", "", message};
}

} // namespace

http_answer sheet_api::apply(const http_request& request) {
    sheet_report report;
    const std::variant<sheet_document, std::vector<sheet_error>> read = read_sheet(request.body);
    if (const std::vector<sheet_error>* const errors =
            std::get_if<std::vector<sheet_error>>(&read)) {
        report.outcome = sheet_outcome::refused;
        report.errors = *errors;
        return to_answer(report);
    }
    const sheet_document& document = std::get<sheet_document>(read);
    const bool dry_run = request.parameter("dry_run") == "1";
    merge_options options;
    options.removal_limit_percent = process_.settings().removal_limit_percent;
    options.removals_confirmed = request.parameter("confirm_removals") == "1";
    options.based_on_version = document.plan_version.value_or(0);
    const change_source source{Poco::UUIDGenerator::defaultGenerator().createRandom().toString(),
                               "sheet", wall_now_ms()};
    std::optional<sheet_refusal> refusal;
    std::optional<plan> merged_plan;
    const change_result result =
        process_.plans().change(source.change_id, [&](const plan& current) -> std::optional<plan> {
            refusal.reset();
            merged_plan.reset();
            std::variant<plan, sheet_refusal> merged =
                merge_sheet(current, document.rows, options, source);
            if (const sheet_refusal* const refused = std::get_if<sheet_refusal>(&merged)) {
                refusal = *refused;
                return std::nullopt;
            }
            plan& changed = std::get<plan>(merged);
            if (changed.version == current.version) {
                return std::nullopt;
            }
            report.differences = plan_diff(current, changed);
            merged_plan = std::move(changed);
            return dry_run ? std::nullopt : merged_plan;
        });
    if (refusal) {
        return to_answer(refused_report(*refusal, result.current.version));
    }
    report.version = result.current.version;
    report.outcome =
        dry_run && merged_plan ? sheet_outcome::accepted : to_sheet_outcome(result.outcome);
    if (result.outcome == change_outcome::conflict) {
        report.errors.push_back(
            whole_sheet_error("other changes won each time: " + result.current.changed_by));
    } else if (result.outcome == change_outcome::unavailable) {
        report.errors.push_back(
            whole_sheet_error("the key-value service does not answer; nothing was changed"));
    }
    return to_answer(report);
}

http_answer sheet_api::show() {
    const std::optional<plan> current = call_on_loop<plan>(
        process_.loop(), loop_timeout,
        [this](const std::function<void(plan)>& done) { done(process_.plans().current()); });
    if (!current) {
        return {503, "text/plain", {}, "the entry is busy\n"};
    }
    return {200, "text/csv", {}, write_sheet(*current)};
}

} // namespace egretstile::daemon
