#include "entry/session.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Random.h>

#include <utility>

namespace egretstile::daemon {

namespace {

/// Renewals that are sent within the session's time to live. With four, three may be lost without
/// ending the session.
constexpr int renewals_per_ttl = 4;

/// Part of the entry id that tells this process from earlier ones with the same entry name.
std::string make_process_tag() {
    Poco::Random random;
    random.seed();
    constexpr std::uint32_t values = 1U << 24U;
    return std::to_string(random.next(values)) + "-" + std::to_string(wall_now_ms());
}

} // namespace

std::string session_key(const entry_id& entry) {
    return "session/" + entry;
}

session::session(event_loop& loop, infrastructure::key_value_store& store, const lease_terms& terms,
                 const std::string& entry_name, handlers callbacks)
    : loop_(loop)
    , store_(store)
    , terms_(terms)
    , entry_name_(entry_name)
    , process_tag_(make_process_tag())
    , handlers_(std::move(callbacks)) {}

void session::start() {
    maintain();
    loop_.call_every(terms_.session_ttl / renewals_per_ttl, [this] { maintain(); });
}

void session::close(std::function<void()> done) {
    closing_ = true;
    if (!lease_) {
        done();
        return;
    }
    calls_.submit([this, lease = *lease_, done = std::move(done)] {
        static_cast<void>(store_.revoke_lease(lease));
        loop_.post(done);
    });
}

void session::maintain() {
    if (call_in_flight_ || closing_) {
        return;
    }
    call_in_flight_ = true;
    if (lease_) {
        renew();
    } else {
        open();
    }
}

void session::open() {
    const entry_id id = next_id();
    calls_.submit([this, id] {
        const boot_time sent_at = boot_now();
        infrastructure::store_result<infrastructure::lease_id> lease =
            store_.grant_lease(terms_.session_ttl);
        if (const infrastructure::lease_id* const granted =
                std::get_if<infrastructure::lease_id>(&lease)) {
            const infrastructure::store_result<revision_number> written =
                store_.compare_and_swap(session_key(id), 0, id, *granted);
            if (const infrastructure::store_error* const error =
                    std::get_if<infrastructure::store_error>(&written)) {
                lease = *error;
            }
        }
        loop_.post([this, id, lease, sent_at] { apply_open_result(id, lease, sent_at); });
    });
}

void session::apply_open_result(
    const entry_id& id, const infrastructure::store_result<infrastructure::lease_id>& result,
    boot_time sent_at) {
    call_in_flight_ = false;
    if (std::holds_alternative<infrastructure::store_error>(result)) {
        return;
    }
    lease_ = std::get<infrastructure::lease_id>(result);
    id_ = id;
    write_log(log_part::membership, log_level::info, "Opened a session.", "entry=" + id_);
    handlers_.on_opened(id_, sent_at);
}

void session::renew() {
    calls_.submit([this, lease = *lease_] {
        const boot_time sent_at = boot_now();
        const infrastructure::store_result<std::monostate> result = store_.renew_lease(lease);
        loop_.post([this, result, sent_at] { apply_renewal_result(result, sent_at); });
    });
}

void session::apply_renewal_result(const infrastructure::store_result<std::monostate>& result,
                                   boot_time sent_at) {
    call_in_flight_ = false;
    const infrastructure::store_error* const error =
        std::get_if<infrastructure::store_error>(&result);
    if (error == nullptr) {
        handlers_.on_renewed(sent_at);
        return;
    }
    if (*error == infrastructure::store_error::not_found) {
        write_log(log_part::membership, log_level::warning, "The session has ended.",
                  "entry=" + id_);
        lease_.reset();
        handlers_.on_lost();
        maintain();
    }
}

entry_id session::next_id() {
    ++sessions_opened_;
    return entry_name_ + "." + process_tag_ + "." + std::to_string(sessions_opened_);
}

} // namespace egretstile::daemon
