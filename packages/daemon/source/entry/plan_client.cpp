#include "entry/plan_client.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

const char* const plan_key = "plan";
constexpr milliseconds refresh_interval{1000};
/// Bounds how long the destructor waits. A shorter timeout would renew the watch more often, and
/// each renewal costs the service one call.
constexpr milliseconds watch_timeout{5000};
constexpr milliseconds watch_retry_delay{500};
constexpr int max_change_attempts = 5;

} // namespace

plan_client::plan_client(event_loop& loop, infrastructure::key_value_store& store,
                         std::function<void()> on_changed)
    : loop_(loop)
    , store_(store)
    , on_changed_(std::move(on_changed)) {}

plan_client::~plan_client() {
    stopped_ = true;
    if (watch_thread_.joinable()) {
        watch_thread_.join();
    }
}

void plan_client::start() {
    refresh();
    loop_.call_every(refresh_interval, [this] { refresh(); });
    watch_thread_ = std::thread([this] { watch_plan(); });
}

void plan_client::refresh() {
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
                apply(*value, sent_at);
            }
        });
    });
}

void plan_client::apply(const infrastructure::stored_value& value, boot_time sent_at) {
    if (value.revision < revision_tracker_.revision()) {
        write_log(log_part::plan, log_level::error,
                  "Ignored a plan revision lower than the known one.",
                  "revision=" + std::to_string(value.revision) +
                      " known=" + std::to_string(revision_tracker_.revision()));
        return;
    }
    if (value.revision > revision_tracker_.revision()) {
        const std::optional<plan> decoded = wire::decode_plan(value.value);
        if (!decoded) {
            write_log(log_part::plan, log_level::error, "The stored plan cannot be decoded.",
                      "revision=" + std::to_string(value.revision));
            return;
        }
        plan_ = *decoded;
    }
    const bool is_new_revision = revision_tracker_.confirm(value.revision, sent_at);
    watched_revision_ = value.revision;
    if (is_new_revision) {
        write_log(log_part::plan, log_level::info, "A plan is in force.",
                  "revision=" + std::to_string(value.revision) + " version=" +
                      std::to_string(plan_.version) + " changed_by=" + plan_.changed_by);
        on_changed_();
    }
}

void plan_client::watch_plan() {
    while (!stopped_) {
        const revision_number known = watched_revision_;
        const infrastructure::store_result<infrastructure::stored_value> read =
            store_.watch(plan_key, known, watch_timeout);
        const infrastructure::stored_value* const value =
            std::get_if<infrastructure::stored_value>(&read);
        if (value == nullptr) {
            std::this_thread::sleep_for(watch_retry_delay);
            continue;
        }
        if (value->revision != known) {
            // The answer to a watch does not tell at which time the revision was current; a read
            // does.
            watched_revision_ = value->revision;
            loop_.post([this] { refresh(); });
        }
    }
}

change_result plan_client::change(const std::string& change_id, const edit& function) {
    change_result result;
    for (int attempt = 0; attempt < max_change_attempts; ++attempt) {
        const boot_time sent_at = boot_now();
        const infrastructure::store_result<infrastructure::stored_value> read =
            store_.get(plan_key);
        const infrastructure::stored_value* const stored =
            std::get_if<infrastructure::stored_value>(&read);
        if (stored == nullptr) {
            continue;
        }
        loop_.post([this, value = *stored, sent_at] { apply(value, sent_at); });
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
            loop_.post([this] { refresh(); });
            return {change_outcome::accepted, *changed, *revision};
        }
        const infrastructure::store_error error = std::get<infrastructure::store_error>(written);
        if (error == infrastructure::store_error::no_answer) {
            // The next attempt reads the plan; its change id tells whether the write took effect.
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
