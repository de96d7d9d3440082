#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/plan/plan.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Changes of the plan as pure functions: they take the current plan and return the new one, whose
/// version is higher by one. A change that changes nothing returns the plan as it is, with the same
/// version and change id. All functions are thread-safe.
namespace egretstile {

/// Who changes the plan, and when.
struct change_source {
    /// Unique; recognises the change when the response to its write was lost.
    std::string change_id;
    std::string changed_by;
    /// Wall-clock time in milliseconds since 1970.
    std::int64_t at_ms{0};
};

enum class plan_edit_error : std::uint8_t { unknown_domain, domain_exists, empty_name };

inline constexpr std::array<enum_name<plan_edit_error>, 3> plan_edit_error_names{
    {{plan_edit_error::unknown_domain, "unknown-domain"},
     {plan_edit_error::domain_exists, "domain-exists"},
     {plan_edit_error::empty_name, "empty-name"}}};

using plan_edit_result = std::variant<plan, plan_edit_error>;

plan_edit_result set_domain_state(const plan& current, const failure_domain_name& domain,
                                  domain_state state, const change_source& source);

/// Adds a failure domain; an existing one is an error, whatever its state.
plan_edit_result add_domain(const plan& current, const failure_domain_name& domain,
                            domain_state state, const change_source& source);

/// The VM need not be known: operators may drain one that is down.
plan_edit_result drain_vm(const plan& current, const vm_name& vm, const change_source& source);
plan_edit_result undrain_vm(const plan& current, const vm_name& vm, const change_source& source);

/// What a sheet asks for. Its rows' `changed_in` and `added_at_ms` are not used. Names are unique
/// among the rows and among the teams; the sheet reader checks it.
struct sheet {
    std::vector<plan_row> rows;
    std::vector<team_plan> teams;
};

struct merge_options {
    /// Share of the rows and teams that may be removed without confirmation, in percent.
    std::uint32_t removal_limit_percent{20};
    bool removals_confirmed{false};
    /// Plan version that the sheet was exported from; zero for a sheet that names none.
    std::uint64_t based_on_version{0};
};

/// What operators did to a row after the sheet was exported.
enum class sheet_conflict_kind : std::uint8_t {
    changed_since, ///< The row was added or changed; the sheet changes or removes it.
    removed_since, ///< The row was removed; the sheet would add it again.
    base_too_old   ///< The sheet adds the row, and removals of that time are not kept any more.
};

inline constexpr std::array<enum_name<sheet_conflict_kind>, 3> sheet_conflict_kind_names{
    {{sheet_conflict_kind::changed_since, "changed-since"},
     {sheet_conflict_kind::removed_since, "removed-since"},
     {sheet_conflict_kind::base_too_old, "base-too-old"}}};

struct sheet_conflict {
    sheet_conflict_kind kind{sheet_conflict_kind::changed_since};
    plan_table table{plan_table::row};
    std::string name;
    /// Version of the change that the sheet conflicts with.
    std::uint64_t changed_in{0};
    /// Who made that change; known only for the plan's last change, else empty.
    std::string changed_by;

    friend bool operator==(const sheet_conflict&, const sheet_conflict&) = default;
};

/// Why a sheet was refused. At least one of the fields is set; all reasons are given at once.
struct sheet_refusal {
    std::vector<sheet_conflict> conflicts;
    /// The sheet names a version that this plan has not reached: it belongs to another deployment.
    bool base_in_future{false};
    /// Rows and teams that the sheet would remove, when they exceed the limit; else zero.
    std::size_t removals{0};
    /// Rows and teams of the current plan.
    std::size_t present{0};
};

/// Removals that a plan keeps. 1,000 names of 40 bytes are 4% of the largest value of the
/// key-value service.
constexpr std::size_t max_removed_rows = 1000;

/// Makes the rows and teams of the plan those of the sheet (design decision 6). Domains and drained
/// VMs are not touched. A row that is the same keeps its `changed_in`.
std::variant<plan, sheet_refusal> merge_sheet(const plan& current, const sheet& rows,
                                              const merge_options& options,
                                              const change_source& source);

} // namespace egretstile
