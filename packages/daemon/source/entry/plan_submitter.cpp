#include "entry/plan_submitter.hpp"

#include <egretstile/core/plan/occurrence.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>
#include <variant>
#include <vector>

namespace egretstile::daemon {

namespace {

/// Prefix of the keys of the plan's tasks, which keeps them apart from the keys of callers as long
/// as callers do not use it: submissions with this prefix are not refused.
const std::string plan_prefix = "plan:";

/// Prefix of the keys of a watch row's tasks. The generation after it is the plan version in which
/// the row last changed, so a changed row gets a new task, in the same shard as the former one.
std::string watch_prefix(const std::string& name) {
    return plan_prefix + name + "#";
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

/// Name of the plan row of a task; empty when the key is not that of a plan's task.
std::string row_name_of(const task_key& key) {
    if (!starts_with(key, plan_prefix)) {
        return "";
    }
    const std::size_t end = key.find_last_of("#@");
    return key.substr(plan_prefix.size(),
                      end == std::string::npos ? std::string::npos : end - plan_prefix.size());
}

} // namespace

void plan_submitter::run(boot_time now, std::int64_t wall_now_ms) {
    constexpr milliseconds max_plan_age{3000};
    if (!plans_.revision_tracker().is_fresh(now, max_plan_age)) {
        return;
    }
    if (plans_.revision_tracker().revision() != rows_revision_) {
        rows_.clear();
        for (const plan_row& row : plans_.current().rows) {
            rows_[row.name] = row;
        }
        rows_revision_ = plans_.revision_tracker().revision();
    }
    cancel_removed();
    for (const auto& [name, row] : rows_) {
        run_row(row, wall_now_ms);
    }
}

void plan_submitter::run_row(const plan_row& row, std::int64_t wall_now_ms) {
    if (row.type == row_type::service) {
        return;
    }
    if (row.type == row_type::watch) {
        run_watch(row);
        return;
    }
    const std::variant<std::vector<occurrence>, unsupported_zone> due =
        due_occurrences(row, wall_now_ms - occurrence_lookback.count(), wall_now_ms);
    const std::vector<occurrence>* const occurrences = std::get_if<std::vector<occurrence>>(&due);
    if (occurrences == nullptr) {
        return;
    }
    for (const occurrence& run : *occurrences) {
        submit(row, plan_prefix + run.key);
    }
}

void plan_submitter::run_watch(const plan_row& row) {
    const task_key key = watch_prefix(row.name) + std::to_string(row.changed_in);
    shard_host& shard = tasks_.shard_of_key(key);
    if (!shard.can_accept_tasks()) {
        return;
    }
    bool earlier_tasks_ended = true;
    for (const task_key& other : shard.ledger().keys_with_prefix(watch_prefix(row.name))) {
        const task_record* const record = shard.ledger().find(other);
        if (other != key && record != nullptr && !is_final(record->state)) {
            shard.ledger().cancel(other);
            earlier_tasks_ended = false;
        }
    }
    if (earlier_tasks_ended) {
        submit(row, key);
    }
}

void plan_submitter::submit(const plan_row& row, const task_key& key) {
    shard_host& shard = tasks_.shard_of_key(key);
    if (!shard.can_accept_tasks() || shard.ledger().find(key) != nullptr) {
        return;
    }
    tasks_.submit(task_of(row, key), [key](const task_answer& answer) {
        if (answer.outcome == wire::task_call_outcome::accepted) {
            write_log(log_part::plan, log_level::info, "Accepted a task of the plan.",
                      "task=" + key);
        }
    });
}

void plan_submitter::cancel_removed() {
    tasks_.for_each_owned([this](shard_host& shard) {
        if (!shard.can_accept_tasks()) {
            return;
        }
        for (const task_key& key : shard.ledger().keys_with_prefix(plan_prefix)) {
            const task_record* const record = shard.ledger().find(key);
            const bool is_removed = rows_.count(row_name_of(key)) == 0;
            if (is_removed && record != nullptr && !is_final(record->state) &&
                record->state != task_state::cancelling) {
                shard.ledger().cancel(key);
            }
        }
    });
}

} // namespace egretstile::daemon
