#include "agent/worker_caller.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

/// Time in which two status calls time out by default; a shorter time without an answer is normal
/// while a VM is busy.
constexpr milliseconds unresponsive_after{2000};

call_result to_result(infrastructure::worker_error error) {
    switch (error) {
    case infrastructure::worker_error::unavailable:
    case infrastructure::worker_error::refused:
        return call_result::refused;
    case infrastructure::worker_error::no_answer:
        return call_result::unknown;
    }
    return call_result::unknown;
}

template <typename Result>
call_result result_of(const infrastructure::worker_result<Result>& result) {
    const infrastructure::worker_error* const error =
        std::get_if<infrastructure::worker_error>(&result);
    return error == nullptr ? call_result::done : to_result(*error);
}

infrastructure::worker_result<std::string>
with_empty_checkpoint(const infrastructure::worker_result<std::monostate>& result) {
    if (const infrastructure::worker_error* const error =
            std::get_if<infrastructure::worker_error>(&result)) {
        return *error;
    }
    return std::string();
}

} // namespace

worker_caller::worker_caller(event_loop& loop, infrastructure::worker& target,
                             incarnation_number incarnation, admission_controller& admission,
                             std::function<void(const task_run&, call_result)> on_start_finished)
    : loop_(loop)
    , worker_(target)
    , incarnation_(incarnation)
    , admission_(admission)
    , on_start_finished_(std::move(on_start_finished)) {}

void worker_caller::poll_status() {
    if (status_in_flight_) {
        return;
    }
    status_in_flight_ = true;
    status_calls_.submit([this] {
        const boot_time sent_at = boot_now();
        infrastructure::worker_result<worker_status> result = worker_.status(incarnation_);
        loop_.post([this, sent_at, result = std::move(result)] {
            status_in_flight_ = false;
            const worker_status* const status = std::get_if<worker_status>(&result);
            const bool was_reachable = std::exchange(reachable_, status != nullptr);
            if (was_reachable != reachable_) {
                write_log(log_part::worker, log_level::info,
                          reachable_ ? "The worker is reachable." : "The worker is unreachable.");
            }
            if (status != nullptr) {
                last_answer_at_ = boot_now();
                status_ = *status;
                admission_.worker_status_received(status_, sent_at, boot_now());
            }
        });
    });
}

bool worker_caller::unresponsive(boot_time now) const {
    return now - last_answer_at_ > unresponsive_after;
}

void worker_caller::start(const worker_start& call) {
    ++starts_in_flight_;
    calls_.submit([this, call] {
        const call_result result = result_of(worker_.start(incarnation_, call));
        loop_.post([this, run = call.run, result] {
            --starts_in_flight_;
            admission_.start_finished(run, result, boot_now());
            on_start_finished_(run, result);
        });
    });
}

void worker_caller::throttle(const task_run& run, std::uint32_t cpu_percent) {
    calls_.submit([this, run, cpu_percent] {
        static_cast<void>(worker_.throttle(incarnation_, run, cpu_percent));
    });
}

void worker_caller::make_due_calls(boot_time now) {
    std::vector<worker_action> renewals;
    for (const worker_action& action : admission_.begin_due_actions(now)) {
        if (action.kind == worker_action_kind::renew) {
            renewals.push_back(action);
        } else {
            perform(action);
        }
    }
    if (!renewals.empty()) {
        renew(renewals);
    }
}

void worker_caller::renew(const std::vector<worker_action>& actions) {
    std::vector<worker_renewal> renewals;
    renewals.reserve(actions.size());
    for (const worker_action& action : actions) {
        renewals.push_back({action.run, action.lease_until});
    }
    renewals_.submit([this, actions, renewals = std::move(renewals)] {
        const call_result result = result_of(worker_.renew(incarnation_, renewals));
        loop_.post([this, actions, result] {
            for (const worker_action& action : actions) {
                handle_result(action, result, "");
            }
        });
    });
}

void worker_caller::perform(const worker_action& action) {
    calls_.submit([this, action] {
        const infrastructure::worker_result<std::string> result = perform_blocking(action);
        const std::string* const checkpoint = std::get_if<std::string>(&result);
        loop_.post([this, action, outcome = result_of(result),
                    checkpoint_data = checkpoint == nullptr ? std::string() : *checkpoint] {
            handle_result(action, outcome, checkpoint_data);
        });
    });
}

infrastructure::worker_result<std::string>
worker_caller::perform_blocking(const worker_action& action) {
    switch (action.kind) {
    case worker_action_kind::suspend:
        return worker_.suspend(incarnation_, action.run);
    case worker_action_kind::resume:
        return with_empty_checkpoint(worker_.resume(incarnation_, action.run, action.lease_until));
    case worker_action_kind::stop:
        return worker_.stop(incarnation_, action.run, false);
    case worker_action_kind::checkpoint_stop:
        return worker_.stop(incarnation_, action.run, true);
    case worker_action_kind::forget:
        return with_empty_checkpoint(worker_.forget(incarnation_, action.run));
    case worker_action_kind::renew:
        return with_empty_checkpoint(
            worker_.renew(incarnation_, {{action.run, action.lease_until}}));
    }
    return infrastructure::worker_error::refused;
}

void worker_caller::handle_result(const worker_action& action, call_result result,
                                  const std::string& checkpoint) {
    admission_.action_finished(action, result, checkpoint, boot_now());
}

} // namespace egretstile::daemon
