#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

/// Whether a failure domain is in service; no tasks are started in one that is out of service.
enum class domain_state : std::uint8_t { in_service, out_of_service };

inline constexpr std::array<enum_name<domain_state>, 2> domain_state_names{
    {{domain_state::in_service, "in"}, {domain_state::out_of_service, "out"}}};

struct domain_plan {
    failure_domain_name name;
    domain_state state{domain_state::in_service};
    /// Plan version of the last change of this row; see `plan::version`.
    std::uint64_t changed_in{0};

    friend bool operator==(const domain_plan&, const domain_plan&) = default;
};

/// How often the work of a row runs.
enum class recurrence : std::uint8_t { once, daily, monthly, standing };

inline constexpr std::array<enum_name<recurrence>, 4> recurrence_names{
    {{recurrence::once, "once"},
     {recurrence::daily, "daily"},
     {recurrence::monthly, "monthly"},
     {recurrence::standing, "standing"}}};

/// What a row of the sheet defines.
enum class row_type : std::uint8_t { service, batch, watch };

inline constexpr std::array<enum_name<row_type>, 3> row_type_names{
    {{row_type::service, "service"}, {row_type::batch, "batch"}, {row_type::watch, "watch"}}};

/// One row of the sheet: a service, a batch job or a watch task that runs permanently.
struct plan_row {
    std::string name;
    row_type type{row_type::service};
    std::string team;
    resources need;
    task_kind kind{task_kind::reconciliation};
    task_priority priority{task_priority::normal};
    bool idempotent{false};
    recurrence repeats{recurrence::once};
    /// Day of the month, 1 to 31, for a monthly row; in a shorter month its last day is used.
    std::uint32_t day_of_month{0};
    /// Minutes after local midnight, for a daily or monthly row.
    std::uint32_t minute_of_day{0};
    /// IANA name, for example Asia/Ulaanbaatar; UTC if empty.
    std::string time_zone;
    milliseconds run_time{0};
    std::string payload;
    /// Wall-clock time in milliseconds since 1970 (UTC) at which the row was added. A `once` row is
    /// due at this time; daily and monthly rows have no occurrence before it.
    std::int64_t added_at_ms{0};
    /// Plan version of the last change of this row; see `plan::version`.
    std::uint64_t changed_in{0};

    friend bool operator==(const plan_row&, const plan_row&) = default;
};

/// Resources of the fleet that the started tasks of a team may use.
struct team_plan {
    std::string name;
    resources quota;
    std::uint64_t changed_in{0};

    friend bool operator==(const team_plan&, const team_plan&) = default;
};

/// A VM that operators drain: its agent admits no new work.
struct drained_vm {
    vm_name name;
    std::uint64_t changed_in{0};

    friend bool operator==(const drained_vm&, const drained_vm&) = default;
};

/// Tables of the plan; a row is identified by the table and its name.
enum class plan_table : std::uint8_t { row, team, domain, drained };

inline constexpr std::array<enum_name<plan_table>, 4> plan_table_names{
    {{plan_table::row, "row"},
     {plan_table::team, "team"},
     {plan_table::domain, "domain"},
     {plan_table::drained, "drained"}}};

/// Record of a row or team that a sheet removed. Without the record, applying a sheet that was
/// exported before the removal and still contains the row would add it again.
struct removed_row {
    plan_table table{plan_table::row};
    std::string name;
    std::uint64_t changed_in{0};

    friend bool operator==(const removed_row&, const removed_row&) = default;
};

/// The complete configuration made by operators; stored as one value of the key-value service.
struct plan {
    /// Number of accepted changes; each accepted change increases it by one.
    std::uint64_t version{0};
    /// Identifies the last change. Shows whether a write whose response was lost took effect.
    std::string change_id;
    std::string changed_by;
    std::vector<domain_plan> domains;
    std::vector<plan_row> rows;
    std::vector<team_plan> teams;
    std::vector<drained_vm> drained;
    /// The latest removals, oldest first, up to `max_removed_rows`.
    std::vector<removed_row> removed;
    /// Highest version of which a removal is no longer in `removed`; zero if `removed` is complete.
    std::uint64_t removals_dropped_to{0};

    friend bool operator==(const plan&, const plan&) = default;
};

} // namespace egretstile
