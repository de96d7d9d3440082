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

/// Changes of the plan as pure functions: each takes the current plan and returns the new one,
/// whose version is higher by one. A change without effect returns the current plan, with the same
/// version and change id. All functions are thread-safe.
namespace egretstile {

/// Who changes the plan, and when.
struct change_source {
    /// Unique. Shows whether the change took effect if the response to its write was lost.
    std::string change_id;
    std::string changed_by;
    /// Wall-clock time in milliseconds since 1970 (UTC).
    std::int64_t changed_at_ms{0};
};

enum class plan_edit_error : std::uint8_t { unknown_domain, domain_exists, empty_name };

inline constexpr std::array<enum_name<plan_edit_error>, 3> plan_edit_error_names{
    {{plan_edit_error::unknown_domain, "unknown-domain"},
     {plan_edit_error::domain_exists, "domain-exists"},
     {plan_edit_error::empty_name, "empty-name"}}};

using plan_edit_result = std::variant<plan, plan_edit_error>;

/// Takes a failure domain into or out of service. If the plan does not contain it, the result is
/// `unknown_domain`.
plan_edit_result set_domain_state(const plan& current, const failure_domain_name& domain,
                                  domain_state state, const change_source& source);

/// Adds a failure domain. If it exists already, the result is `domain_exists`, whatever its state.
plan_edit_result add_domain(const plan& current, const failure_domain_name& domain,
                            domain_state state, const change_source& source);

/// Marks a VM as drained. It need not be registered: operators may drain a VM that is down. If the
/// name is empty, the result is `empty_name`.
plan_edit_result drain_vm(const plan& current, const vm_name& vm, const change_source& source);
/// Lets a drained VM admit work again. If the name is empty, the result is `empty_name`.
plan_edit_result undrain_vm(const plan& current, const vm_name& vm, const change_source& source);

/// The rows and teams that a sheet contains. Their `changed_in` and `added_at_ms` are not used.
/// Precondition: names are unique among the rows and among the teams; the sheet reader checks this.
struct sheet {
    std::vector<plan_row> rows;
    std::vector<team_plan> teams;
};

struct merge_options {
    /// Maximum share of the rows and teams that a sheet may remove without confirmation, in
    /// percent.
    std::uint32_t removal_limit_percent{20};
    bool removals_confirmed{false};
    /// Plan version from which the sheet was exported; zero if the sheet states none.
    std::uint64_t based_on_version{0};
};

/// How a row of the plan was changed after the export of the sheet.
enum class sheet_conflict_kind : std::uint8_t {
    changed_since, ///< The row was added or changed; the sheet would change or remove it.
    removed_since, ///< The row was removed; the sheet would add it again.
    base_too_old   ///< The sheet would add a row whose removal record may have been discarded.
};

inline constexpr std::array<enum_name<sheet_conflict_kind>, 3> sheet_conflict_kind_names{
    {{sheet_conflict_kind::changed_since, "changed-since"},
     {sheet_conflict_kind::removed_since, "removed-since"},
     {sheet_conflict_kind::base_too_old, "base-too-old"}}};

struct sheet_conflict {
    sheet_conflict_kind kind{sheet_conflict_kind::changed_since};
    plan_table table{plan_table::row};
    std::string name;
    /// Plan version of the change that the sheet conflicts with.
    std::uint64_t changed_in{0};
    /// Who made that change; empty unless it is the last change of the plan, because the plan
    /// records only who made the last one.
    std::string changed_by;

    friend bool operator==(const sheet_conflict&, const sheet_conflict&) = default;
};

/// Why a sheet was refused. Contains all reasons that apply, at least one.
struct sheet_refusal {
    std::vector<sheet_conflict> conflicts;
    /// The sheet states a version that this plan has not reached, so it belongs to another
    /// deployment.
    bool base_in_future{false};
    /// Number of rows and teams that the sheet would remove, if it exceeds the limit; else zero.
    std::size_t removals{0};
    /// Number of rows and teams of the current plan.
    std::size_t present{0};
};

/// Maximum number of removal records in a plan. 1,000 names of 40 bytes take 4% of the largest
/// value that the key-value service accepts.
constexpr std::size_t max_removed_rows = 1000;

/// Replaces the rows and teams of the plan by those of the sheet (see design decision 6). Domains
/// and drained VMs stay as they are. An unchanged row keeps its `changed_in`.
std::variant<plan, sheet_refusal> merge_sheet(const plan& current, const sheet& requested,
                                              const merge_options& options,
                                              const change_source& source);

} // namespace egretstile
