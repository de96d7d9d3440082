#include "entry/plan_runner.hpp"

#include <egretstile/core/plan/occurrence.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>
#include <variant>
#include <vector>

namespace egretstile::daemon {

namespace {

/// Prefix of the keys of the plan's tasks, so that they cannot meet a caller's key.
const std::string plan_prefix = "plan:";

/// Keys of a watch row's tasks: the generation is the plan version in which the row last changed,
/// so a changed row gets a new task, in the same shard as the former one.
std::string watch_prefix(const std::string& name) {
    return plan_prefix + name + "#";
}

bool has_prefix(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

/// Name of the row that a key belongs to; empty for a key that the plan did not make.
std::string row_of(const task_key& key) {
    if (!has_prefix(key, plan_prefix)) {
        return "";
    }
    const std::size_t end = key.find_last_of("#@");
    return key.substr(plan_prefix.size(),
                      end == std::string::npos ? std::string::npos : end - plan_prefix.size());
}

} // namespace

void plan_runner::run(boot_time now, std::int64_t wall_now_ms) {
    constexpr milliseconds freshness{3000};
    if (!plans_.view().is_fresh(now, freshness)) {
        return;
    }
    if (plans_.view().revision() != known_revision_) {
        known_.clear();
        for (const plan_row& row : plans_.current().rows) {
            known_[row.name] = row;
        }
        known_revision_ = plans_.view().revision();
    }
    cancel_removed();
    for (const auto& [name, row] : known_) {
        run_row(row, wall_now_ms);
    }
}

void plan_runner::run_row(const plan_row& row, std::int64_t wall_now_ms) {
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

void plan_runner::run_watch(const plan_row& row) {
    const task_key key = watch_prefix(row.name) + std::to_string(row.changed_in);
    shard_host& shard = tasks_.shard_of_key(key);
    if (!shard.takes_tasks()) {
        return;
    }
    bool former_ended = true;
    for (const task_key& other : shard.ledger().keys_with_prefix(watch_prefix(row.name))) {
        const task_record* const record = shard.ledger().find(other);
        if (other != key && record != nullptr && !is_final(record->state)) {
            shard.ledger().cancel(other);
            former_ended = false;
        }
    }
    if (former_ended) {
        submit(row, key);
    }
}

void plan_runner::submit(const plan_row& row, const task_key& key) {
    shard_host& shard = tasks_.shard_of_key(key);
    if (!shard.takes_tasks() || shard.ledger().find(key) != nullptr) {
        return;
    }
    tasks_.submit(task_of(row, key), [key](const task_answer& answer) {
        if (answer.outcome == wire::task_call_outcome::accepted) {
            write_log(log_part::plan, log_level::info, "Accepted a task of the plan.",
                      "task=" + key);
        }
    });
}

void plan_runner::cancel_removed() {
    tasks_.for_each_owned([this](shard_host& shard) {
        if (!shard.takes_tasks()) {
            return;
        }
        for (const task_key& key : shard.ledger().keys_with_prefix(plan_prefix)) {
            const task_record* const record = shard.ledger().find(key);
            const bool is_removed = known_.count(row_of(key)) == 0;
            if (is_removed && record != nullptr && !is_final(record->state) &&
                record->state != task_state::cancelling) {
                shard.ledger().cancel(key);
            }
        }
    });
}

} // namespace egretstile::daemon
