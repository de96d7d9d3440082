#include "entry/task_service.hpp"

#include <egretstile/core/shard/shard_map.hpp>
#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

/// Threads for calls to the key-value service: how many shards can write at once.
constexpr std::size_t commit_threads = 4;

task_answer make_answer(wire::task_call_outcome outcome, std::string reason = "") {
    return {outcome, std::move(reason), {}};
}

} // namespace

shard_number shard_of_task(const task_key& key, std::uint32_t shard_count) {
    return shard_of(std::string_view(key).substr(0, key.find('#')), shard_count);
}

task_service::task_service(event_loop& loop, infrastructure::key_value_store& store,
                           const entry_settings& settings, fleet& vm_fleet)
    : loop_(loop)
    , settings_(settings)
    , fleet_(vm_fleet)
    , calls_(commit_threads) {
    const milliseconds commit_interval(std::chrono::milliseconds::period::den *
                                       settings_.shard_count /
                                       settings_.key_value_writes_per_second);
    for (shard_number shard = 0; shard < settings_.shard_count; ++shard) {
        shards_.push_back(std::make_unique<shard_host>(
            loop_, store, calls_, shard, settings_.common.terms, settings_.ledger, commit_interval,
            [this](const task_key& key) { answer_committed(key); }));
    }
}

void task_service::session_opened(const entry_id& self, boot_time /*sent_at*/) {
    self_ = self;
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        shard->set_self(self);
    }
}

void task_service::session_renewed(boot_time sent_at) {
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        shard->session_confirmed(sent_at);
    }
}

void task_service::session_lost() {
    self_.clear();
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        shard->end_session();
        fail_pending_answers(*shard);
    }
}

void task_service::maintain(member_directory& directory) {
    if (!directory.is_loaded()) {
        return;
    }
    const std::vector<entry_id> entries = directory.live_ids();
    const auto session_ended = [&directory](const entry_id& entry) {
        return directory.session_ended(entry);
    };
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        shard->maintain(preferred_entry(shard->number(), entries), session_ended);
        if (!shard->is_owned()) {
            directory.watch_session(shard->recorded_owner());
            fail_pending_answers(*shard);
        }
    }
}

void task_service::advance() {
    const boot_time now = boot_now();
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        shard->advance();
        send_commands(*shard, now);
    }
}

void task_service::release_all() {
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        shard->release();
    }
}

std::size_t task_service::owned_shards() const {
    std::size_t count = 0;
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        count += shard->is_owned() ? 1 : 0;
    }
    return count;
}

void task_service::submit(const task_spec& spec, answer_callback done) {
    shard_host& shard = shard_of_key(spec.key);
    if (!shard.can_accept_tasks()) {
        done(make_answer(wire::task_call_outcome::not_run, "shard has no owner here"));
        return;
    }
    const submit_result result = shard.ledger().submit(spec, wall_now_ms());
    if (result == submit_result::full) {
        done(make_answer(wire::task_call_outcome::not_run, "shard is full"));
        return;
    }
    if (result == submit_result::conflict) {
        const task_record* const current = shard.ledger().find(spec.key);
        done({wire::task_call_outcome::conflict, "key has another spec", *current});
        return;
    }
    if (const task_record* const committed = shard.ledger().find_committed(spec.key)) {
        done({wire::task_call_outcome::accepted, "", *committed});
        return;
    }
    pending_answers_[spec.key].push_back(std::move(done));
    shard.advance();
}

void task_service::query(const task_key& key, const answer_callback& done) const {
    const shard_host& shard = *shards_.at(shard_of_task(key, settings_.shard_count));
    if (!shard.is_owned() || !shard.may_grant(boot_now())) {
        done(make_answer(wire::task_call_outcome::unknown, "shard has no owner here"));
        return;
    }
    const task_record* const committed = shard.ledger().find_committed(key);
    if (committed == nullptr) {
        done(make_answer(wire::task_call_outcome::not_found));
        return;
    }
    done({wire::task_call_outcome::accepted, "", *committed});
}

void task_service::cancel(const task_key& key, const answer_callback& done) {
    shard_host& shard = shard_of_key(key);
    if (!shard.can_accept_tasks()) {
        done(make_answer(wire::task_call_outcome::unknown, "shard has no owner here"));
        return;
    }
    if (!shard.ledger().cancel(key)) {
        done(make_answer(wire::task_call_outcome::not_found));
        return;
    }
    const task_record* const current = shard.ledger().find(key);
    const task_record* const committed = shard.ledger().find_committed(key);
    if (current != nullptr && committed != nullptr && *current == *committed) {
        done({wire::task_call_outcome::accepted, "", *committed});
        return;
    }
    pending_answers_[key].push_back(done);
    shard.advance();
}

void task_service::apply_heartbeat(const wire::heartbeat& heartbeat, wire::heartbeat_reply& reply,
                                   boot_time now) {
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        if (!shard->may_grant(now)) {
            continue;
        }
        vm_observation observation;
        observation.vm = heartbeat.vm;
        observation.incarnation = heartbeat.incarnation;
        observation.sequence = heartbeat.sequence;
        observation.worker_known = heartbeat.worker_known;
        observation.worker_boot = heartbeat.worker_boot;
        for (const run_report& report : heartbeat.runs) {
            if (report.shard == shard->number()) {
                observation.runs.push_back(report);
            }
        }
        const observation_answer answer = shard->ledger().observe(observation, now);
        reply.stop.insert(reply.stop.end(), answer.stop.begin(), answer.stop.end());
        reply.acknowledged.insert(reply.acknowledged.end(), answer.acknowledged.begin(),
                                  answer.acknowledged.end());
        if (!observation.runs.empty()) {
            reply.grants.push_back({shard->number(), shard->epoch()});
        }
    }
}

void task_service::apply_start_answer(const vm_name& vm, incarnation_number incarnation,
                                      const wire::start_reply& reply, boot_time now) {
    if (reply.report.shard >= shards_.size()) {
        return;
    }
    shard_host& shard = *shards_.at(reply.report.shard);
    if (reply.report.phase == run_phase::refused) {
        fleet_.record_refusal(vm, now);
        write_log(log_part::task, log_level::debug, "An agent refused a start.",
                  "task=" + reply.report.run.key + " vm=" + vm +
                      " reason=" + std::string(name_of(refusal_names, reply.reason)));
    }
    if (!shard.may_grant(now)) {
        return;
    }
    const task_record* const record = shard.ledger().find(reply.report.run.key);
    // The answer counts only when it comes from the agent that the start was sent to: after a
    // restart, an agent may refuse a start although the run exists, because it has not read its
    // worker's runs yet.
    if (record != nullptr && record->incarnation == incarnation) {
        shard.ledger().apply_start_answer(vm, reply.report, now);
        shard.advance();
    }
}

void task_service::for_each_owned(const std::function<void(shard_host&)>& function) {
    for (const std::unique_ptr<shard_host>& shard : shards_) {
        if (shard->is_owned()) {
            function(*shard);
        }
    }
}

shard_host& task_service::shard_of_key(const task_key& key) {
    return *shards_.at(shard_of_task(key, settings_.shard_count));
}

void task_service::answer_committed(const task_key& key) {
    const auto found = pending_answers_.find(key);
    if (found == pending_answers_.end()) {
        return;
    }
    const std::vector<answer_callback> callbacks = std::move(found->second);
    pending_answers_.erase(found);
    const task_record* const committed = shard_of_key(key).ledger().find_committed(key);
    for (const answer_callback& done : callbacks) {
        if (committed != nullptr) {
            done({wire::task_call_outcome::accepted, "", *committed});
        } else {
            done(make_answer(wire::task_call_outcome::not_found));
        }
    }
}

void task_service::send_commands(shard_host& shard, boot_time now) {
    if (!shard.may_grant(now)) {
        return;
    }
    for (const ledger_command& command : shard.ledger().take_commands()) {
        std::visit([this, &shard](const auto& content) { send_command(shard, content); }, command);
    }
}

void task_service::send_command(shard_host& shard, const start_command& command) {
    const fleet_vm* const vm = fleet_.find(command.vm);
    if (vm == nullptr || vm->view.incarnation != command.incarnation) {
        return;
    }
    wire::start_task message;
    message.shard = shard.number();
    message.epoch = shard.epoch();
    message.spec = command.spec;
    message.attempt = command.attempt;
    message.incarnation = command.incarnation;
    if (const task_record* const record = shard.ledger().find(command.spec.key)) {
        message.worker_boot = record->worker_boot;
    }
    message.heartbeat_sequence = vm->answered_sequence;
    message.checkpoint = command.checkpoint;
    fleet_.send(command.vm, message);
}

void task_service::send_command(shard_host& shard, const stop_command& command) {
    wire::evict_task message;
    message.shard = shard.number();
    message.epoch = shard.epoch();
    message.run = command.run;
    message.take_checkpoint = command.take_checkpoint;
    fleet_.send(command.vm, message);
}

void task_service::fail_pending_answers(const shard_host& shard) {
    if (shard.is_owned()) {
        return;
    }
    for (auto pending = pending_answers_.begin(); pending != pending_answers_.end();) {
        if (shard_of_task(pending->first, settings_.shard_count) != shard.number()) {
            ++pending;
            continue;
        }
        const std::vector<answer_callback> callbacks = std::move(pending->second);
        pending = pending_answers_.erase(pending);
        for (const answer_callback& done : callbacks) {
            done(make_answer(wire::task_call_outcome::unknown, "the shard changed its owner"));
        }
    }
}

} // namespace egretstile::daemon
