#include "entry/plan_keeper.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

const char* const plan_key = "plan";
constexpr milliseconds confirm_interval{1000};
/// Bounds how long the destructor waits; each renewal of the watch costs the service one call.
constexpr milliseconds watch_wait{5000};
constexpr milliseconds pause_after_failed_watch{500};
constexpr int change_attempts = 5;

} // namespace

plan_keeper::plan_keeper(event_loop& loop, infrastructure::key_value_store& store,
                         std::function<void()> on_changed)
    : loop_(loop)
    , store_(store)
    , on_changed_(std::move(on_changed)) {}

plan_keeper::~plan_keeper() {
    stopped_ = true;
    if (watch_thread_.joinable()) {
        watch_thread_.join();
    }
}

void plan_keeper::start() {
    confirm();
    loop_.call_every(confirm_interval, [this] { confirm(); });
    watch_thread_ = std::thread([this] { watch_changes(); });
}

void plan_keeper::confirm() {
    if (call_in_flight_) {
        return;
    }
    call_in_flight_ = true;
    calls_.submit([this] {
        const boot_time sent_at = boot_now();
        const infrastructure::store_result<infrastructure::stored_value> read =
            store_.get(plan_key);
        loop_.post([this, read, sent_at] {
            call_in_flight_ = false;
            if (const infrastructure::stored_value* const value =
                    std::get_if<infrastructure::stored_value>(&read)) {
                take(*value, sent_at);
            }
        });
    });
}

void plan_keeper::take(const infrastructure::stored_value& value, boot_time sent_at) {
    if (value.revision < view_.revision()) {
        write_log(log_part::plan, log_level::error, "Ignored a lower plan revision.",
                  "revision=" + std::to_string(value.revision) +
                      " known=" + std::to_string(view_.revision()));
        return;
    }
    if (value.revision > view_.revision()) {
        const std::optional<plan> decoded = wire::decode_plan(value.value);
        if (!decoded) {
            write_log(log_part::plan, log_level::error, "The stored plan cannot be read.",
                      "revision=" + std::to_string(value.revision));
            return;
        }
        plan_ = *decoded;
    }
    const bool rose = view_.confirm(value.revision, sent_at);
    watched_revision_ = value.revision;
    if (rose) {
        write_log(log_part::plan, log_level::info, "A plan is in force.",
                  "revision=" + std::to_string(value.revision) + " version=" +
                      std::to_string(plan_.version) + " changed_by=" + plan_.changed_by);
        on_changed_();
    }
}

void plan_keeper::watch_changes() {
    while (!stopped_) {
        const revision_number known = watched_revision_;
        const infrastructure::store_result<infrastructure::stored_value> read =
            store_.watch(plan_key, known, watch_wait);
        const infrastructure::stored_value* const value =
            std::get_if<infrastructure::stored_value>(&read);
        if (value == nullptr) {
            std::this_thread::sleep_for(pause_after_failed_watch);
            continue;
        }
        if (value->revision != known) {
            // Confirming anew gives the revision a time; the answer of a watch has none.
            watched_revision_ = value->revision;
            loop_.post([this] { confirm(); });
        }
    }
}

change_result plan_keeper::change(const std::string& change_id, const edit& function) {
    change_result result;
    for (int attempt = 0; attempt < change_attempts; ++attempt) {
        const boot_time sent_at = boot_now();
        const infrastructure::store_result<infrastructure::stored_value> read =
            store_.get(plan_key);
        const infrastructure::stored_value* const stored =
            std::get_if<infrastructure::stored_value>(&read);
        if (stored == nullptr) {
            continue;
        }
        loop_.post([this, value = *stored, sent_at] { take(value, sent_at); });
        const std::optional<plan> decoded =
            stored->revision == 0 ? plan{} : wire::decode_plan(stored->value);
        if (!decoded) {
            return result;
        }
        result.current = *decoded;
        result.revision = stored->revision;
        if (!change_id.empty() && decoded->change_id == change_id) {
            result.outcome = change_outcome::accepted;
            return result;
        }
        std::optional<plan> changed = function(*decoded);
        if (!changed) {
            result.outcome = change_outcome::unchanged;
            return result;
        }
        changed->version = decoded->version + 1;
        changed->change_id = change_id;
        const infrastructure::store_result<revision_number> written = store_.compare_and_swap(
            plan_key, stored->revision, wire::encode_record(*changed), std::nullopt);
        if (const revision_number* const revision = std::get_if<revision_number>(&written)) {
            loop_.post([this] { confirm(); });
            return {change_outcome::accepted, *changed, *revision};
        }
        const infrastructure::store_error error = std::get<infrastructure::store_error>(written);
        if (error == infrastructure::store_error::no_answer) {
            // The next round reads the plan and looks for the change id.
            result.outcome = change_outcome::unknown;
        } else if (result.outcome != change_outcome::unknown) {
            result.outcome = error == infrastructure::store_error::conflict
                                 ? change_outcome::conflict
                                 : change_outcome::unavailable;
        }
    }
    return result;
}

} // namespace egretstile::daemon
