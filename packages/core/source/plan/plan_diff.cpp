#include <egretstile/core/plan/plan_diff.hpp>

#include <map>
#include <utility>

namespace egretstile {

namespace {

using field_list = std::vector<std::pair<std::string, std::string>>;

void add_resources(field_list& fields, const resources& need) {
    fields.emplace_back("cpu_millicores", std::to_string(need.cpu_millicores));
    fields.emplace_back("memory_mb", std::to_string(need.memory_mb));
    fields.emplace_back("accelerators", std::to_string(need.accelerators));
}

field_list fields_of(const plan_row& row) {
    field_list fields{{"type", std::string(name_of(row_type_names, row.type))},
                      {"team", row.team},
                      {"kind", std::string(name_of(task_kind_names, row.kind))},
                      {"priority", std::string(name_of(task_priority_names, row.priority))},
                      {"idempotent", row.idempotent ? "yes" : "no"},
                      {"repeats", std::string(name_of(recurrence_names, row.repeats))},
                      {"day_of_month", std::to_string(row.day_of_month)},
                      {"minute_of_day", std::to_string(row.minute_of_day)},
                      {"time_zone", row.time_zone},
                      {"run_time_ms", std::to_string(row.run_time.count())},
                      {"payload", row.payload}};
    add_resources(fields, row.need);
    return fields;
}

field_list fields_of(const team_plan& team) {
    field_list fields;
    add_resources(fields, team.quota);
    return fields;
}

field_list fields_of(const domain_plan& domain) {
    return {{"state", std::string(name_of(domain_state_names, domain.state))}};
}

field_list fields_of(const drained_vm& /*vm*/) {
    return {};
}

/// Precondition: both lists have the same fields in the same order, as the results of the same
/// `fields_of` do.
std::vector<field_difference> differences(const field_list& before, const field_list& after) {
    std::vector<field_difference> result;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            result.push_back({before[i].first, before[i].second, after[i].second});
        }
    }
    return result;
}

template <typename Row>
std::map<std::string, const Row*> by_name(const std::vector<Row>& rows) {
    std::map<std::string, const Row*> result;
    for (const Row& row : rows) {
        result.emplace(row.name, &row);
    }
    return result;
}

template <typename Row>
void compare(plan_table table, const std::vector<Row>& before, const std::vector<Row>& after,
             std::vector<plan_difference>& result) {
    const std::map<std::string, const Row*> old_rows = by_name(before);
    const std::map<std::string, const Row*> new_rows = by_name(after);
    for (const auto& [name, row] : new_rows) {
        const auto old_row = old_rows.find(name);
        if (old_row == old_rows.end()) {
            result.push_back({table, difference_kind::added, name, {}});
            continue;
        }
        std::vector<field_difference> fields =
            differences(fields_of(*old_row->second), fields_of(*row));
        if (!fields.empty()) {
            result.push_back({table, difference_kind::changed, name, std::move(fields)});
        }
    }
    for (const auto& [name, row] : old_rows) {
        if (new_rows.find(name) == new_rows.end()) {
            result.push_back({table, difference_kind::removed, name, {}});
        }
    }
}

} // namespace

std::vector<plan_difference> plan_diff(const plan& before, const plan& after) {
    std::vector<plan_difference> result;
    compare(plan_table::row, before.rows, after.rows, result);
    compare(plan_table::team, before.teams, after.teams, result);
    compare(plan_table::domain, before.domains, after.domains, result);
    compare(plan_table::drained, before.drained, after.drained, result);
    return result;
}

} // namespace egretstile
