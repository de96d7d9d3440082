#include <egretstile/core/plan/plan_edit.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace egretstile {

namespace {

/// Copy of `current` with the next version number and the source of the change.
plan next_version(const plan& current, const change_source& source) {
    plan next = current;
    ++next.version;
    next.change_id = source.change_id;
    next.changed_by = source.changed_by;
    return next;
}

template <typename Row>
auto find_row(std::vector<Row>& rows, const std::string& name) {
    return std::find_if(rows.begin(), rows.end(),
                        [&name](const Row& row) { return row.name == name; });
}

template <typename Row>
auto find_row(const std::vector<Row>& rows, const std::string& name) {
    return std::find_if(rows.begin(), rows.end(),
                        [&name](const Row& row) { return row.name == name; });
}

/// The row of the sheet with the fields that only the plan has, taken from the existing row.
plan_row with_history(plan_row row, const plan_row& existing) {
    row.added_at_ms = existing.added_at_ms;
    row.changed_in = existing.changed_in;
    return row;
}

team_plan with_history(team_plan team, const team_plan& existing) {
    team.changed_in = existing.changed_in;
    return team;
}

void set_added_at(plan_row& row, const change_source& source) {
    row.added_at_ms = source.changed_at_ms;
}

void set_added_at(team_plan& /*team*/, const change_source& /*source*/) {}

/// Merges one table of the plan with the same table of the sheet, and collects the conflicts and
/// the removals. Not thread-safe.
template <typename Row>
class table_merge {
public:
    table_merge(plan_table table, const plan& current, const merge_options& options,
                const change_source& source)
        : table_(table)
        , current_(current)
        , options_(options)
        , source_(source) {}

    void merge(const std::vector<Row>& existing, const std::vector<Row>& requested) {
        std::map<std::string, const Row*> unmatched;
        for (const Row& row : existing) {
            unmatched.emplace(row.name, &row);
        }
        rows_.reserve(requested.size());
        for (const Row& row : requested) {
            const auto found = unmatched.find(row.name);
            if (found == unmatched.end()) {
                add(row);
            } else {
                keep_or_update(*found->second, row);
                unmatched.erase(found);
            }
        }
        for (const auto& [name, row] : unmatched) {
            remove(*row);
        }
    }

    bool changed() const { return changed_; }

    std::vector<Row> release_rows() { return std::move(rows_); }

    const std::vector<sheet_conflict>& conflicts() const { return conflicts_; }

    const std::vector<removed_row>& removed() const { return removed_; }

private:
    std::uint64_t new_version() const { return current_.version + 1; }

    void add(Row row) {
        changed_ = true;
        // A row may have been removed and added several times: only its last removal matters.
        const auto removal = std::find_if(
            current_.removed.rbegin(), current_.removed.rend(), [&](const removed_row& candidate) {
                return candidate.table == table_ && candidate.name == row.name;
            });
        if (removal != current_.removed.rend() && removal->changed_in > options_.based_on_version) {
            add_conflict(sheet_conflict_kind::removed_since, row.name, removal->changed_in);
        } else if (options_.based_on_version < current_.removals_dropped_to) {
            add_conflict(sheet_conflict_kind::base_too_old, row.name, current_.removals_dropped_to);
        }
        row.changed_in = new_version();
        set_added_at(row, source_);
        rows_.push_back(std::move(row));
    }

    void keep_or_update(const Row& existing, const Row& requested) {
        Row row = with_history(requested, existing);
        if (!(row == existing)) {
            changed_ = true;
            check_unchanged_since_export(existing);
            row.changed_in = new_version();
        }
        rows_.push_back(std::move(row));
    }

    void remove(const Row& existing) {
        changed_ = true;
        check_unchanged_since_export(existing);
        removed_.push_back({table_, existing.name, new_version()});
    }

    void check_unchanged_since_export(const Row& existing) {
        if (existing.changed_in > options_.based_on_version) {
            add_conflict(sheet_conflict_kind::changed_since, existing.name, existing.changed_in);
        }
    }

    void add_conflict(sheet_conflict_kind kind, const std::string& name, std::uint64_t version) {
        const bool is_last_change = version == current_.version;
        conflicts_.push_back(
            {kind, table_, name, version, is_last_change ? current_.changed_by : std::string()});
    }

    plan_table table_;
    const plan& current_;
    const merge_options& options_;
    const change_source& source_;
    std::vector<Row> rows_;
    std::vector<sheet_conflict> conflicts_;
    std::vector<removed_row> removed_;
    bool changed_{false};
};

bool exceeds_limit(std::size_t removals, std::size_t current_count, const merge_options& options) {
    constexpr std::size_t percent = 100;
    return !options.removals_confirmed &&
           removals * percent > current_count * options.removal_limit_percent;
}

void discard_oldest_removals(plan& next) {
    if (next.removed.size() <= max_removed_rows) {
        return;
    }
    const std::size_t excess = next.removed.size() - max_removed_rows;
    next.removals_dropped_to = next.removed[excess - 1].changed_in;
    next.removed.erase(next.removed.begin(),
                       next.removed.begin() + static_cast<std::ptrdiff_t>(excess));
}

template <typename Value>
void append(std::vector<Value>& target, const std::vector<Value>& values) {
    target.insert(target.end(), values.begin(), values.end());
}

} // namespace

plan_edit_result set_domain_state(const plan& current, const failure_domain_name& domain,
                                  domain_state state, const change_source& source) {
    const auto found = find_row(current.domains, domain);
    if (found == current.domains.end()) {
        return plan_edit_error::unknown_domain;
    }
    if (found->state == state) {
        return current;
    }
    plan next = next_version(current, source);
    const auto changed = find_row(next.domains, domain);
    changed->state = state;
    changed->changed_in = next.version;
    return next;
}

plan_edit_result add_domain(const plan& current, const failure_domain_name& domain,
                            domain_state state, const change_source& source) {
    if (domain.empty()) {
        return plan_edit_error::empty_name;
    }
    if (find_row(current.domains, domain) != current.domains.end()) {
        return plan_edit_error::domain_exists;
    }
    plan next = next_version(current, source);
    next.domains.push_back({domain, state, next.version});
    return next;
}

plan_edit_result drain_vm(const plan& current, const vm_name& vm, const change_source& source) {
    if (vm.empty()) {
        return plan_edit_error::empty_name;
    }
    if (find_row(current.drained, vm) != current.drained.end()) {
        return current;
    }
    plan next = next_version(current, source);
    next.drained.push_back({vm, next.version});
    return next;
}

plan_edit_result undrain_vm(const plan& current, const vm_name& vm, const change_source& source) {
    if (vm.empty()) {
        return plan_edit_error::empty_name;
    }
    if (find_row(current.drained, vm) == current.drained.end()) {
        return current;
    }
    plan next = next_version(current, source);
    next.drained.erase(find_row(next.drained, vm));
    return next;
}

std::variant<plan, sheet_refusal> merge_sheet(const plan& current, const sheet& requested,
                                              const merge_options& options,
                                              const change_source& source) {
    table_merge<plan_row> row_merge(plan_table::row, current, options, source);
    row_merge.merge(current.rows, requested.rows);
    table_merge<team_plan> team_merge(plan_table::team, current, options, source);
    team_merge.merge(current.teams, requested.teams);
    if (!row_merge.changed() && !team_merge.changed()) {
        return current;
    }

    sheet_refusal refusal;
    refusal.conflicts = row_merge.conflicts();
    append(refusal.conflicts, team_merge.conflicts());
    refusal.base_in_future = options.based_on_version > current.version;
    refusal.present = current.rows.size() + current.teams.size();
    const std::size_t removals = row_merge.removed().size() + team_merge.removed().size();
    if (exceeds_limit(removals, refusal.present, options)) {
        refusal.removals = removals;
    }
    if (!refusal.conflicts.empty() || refusal.base_in_future || refusal.removals != 0) {
        return refusal;
    }

    plan next = next_version(current, source);
    next.rows = row_merge.release_rows();
    next.teams = team_merge.release_rows();
    append(next.removed, row_merge.removed());
    append(next.removed, team_merge.removed());
    discard_oldest_removals(next);
    return next;
}

} // namespace egretstile
