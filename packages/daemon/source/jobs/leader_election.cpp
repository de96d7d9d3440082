#include "jobs/leader_election.hpp"

#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

constexpr milliseconds call_timeout{800};
constexpr milliseconds claim_pause{200};
/// Delay of an entry with a whole core, and the longest: well below the leader's lease. The
/// smallest entries have a fifteenth of a core.
constexpr milliseconds delay_of_a_core{25};
constexpr milliseconds longest_delay{250};

} // namespace

election_settings election_settings_for(double processor_share) {
    election_settings settings;
    const double delay = static_cast<double>(delay_of_a_core.count()) / processor_share;
    settings.claim_delay = milliseconds(
        static_cast<std::int64_t>(std::min(delay, static_cast<double>(longest_delay.count()))));
    return settings;
}

leader_election::leader_election(event_loop& loop, coordination_store& store, control_view& control,
                                 const election_settings& settings, std::string name,
                                 const endpoint& address, handlers callbacks)
    : loop_(loop)
    , store_(store)
    , control_(control)
    , settings_(settings)
    , name_(std::move(name))
    , address_(address)
    , handlers_(std::move(callbacks)) {
    const std::weak_ptr<int> alive = alive_;
    loop_.call_every(settings_.renewal_interval, [this, alive] {
        if (!alive.expired()) {
            renew();
        }
    });
}

void leader_election::control_changed() {
    if (leads()) {
        if (control_.epoch() > leadership_->epoch) {
            depose("later_epoch");
        }
        return;
    }
    if (control_.leader()) {
        vacant_since_ = boot_time();
    }
    if (!resigned_ && !claiming_ && control_.is_known() && may_claim() && has_waited()) {
        claim();
    }
}

bool leader_election::has_waited() {
    if (control_.leader()) {
        return true; // It replaces itself.
    }
    const boot_time now = boot_now();
    if (vacant_since_ == boot_time()) {
        vacant_since_ = now;
        const std::weak_ptr<int> alive = alive_;
        loop_.call_at(now + settings_.claim_delay, [this, alive] {
            if (!alive.expired()) {
                control_changed();
            }
        });
    }
    return now >= vacant_since_ + settings_.claim_delay;
}

bool leader_election::may_claim() const {
    // This process is the only one of its name, so a leader of that name has ended.
    return !control_.leader() || control_.leader()->name == name_;
}

void leader_election::later_epoch_seen() {
    if (leads()) {
        depose("later_epoch");
    }
    control_.refresh();
}

void leader_election::resign() {
    resigned_ = true;
    if (!leads()) {
        return;
    }
    const store_lease lease = lease_;
    const leadership given_up = *leadership_;
    depose("resigned");
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, given_up.epoch_revision}};
    transaction.writes = {{store_keys::released, std::to_string(given_up.epoch), no_lease}};
    transaction.removals = {store_keys::leader};
    const std::weak_ptr<int> alive = alive_;
    store_.commit(transaction, call_timeout,
                  [this, alive,
                   lease](std::variant<store_commit, store_conflict, store_error>&& /*released*/) {
                      if (alive.expired()) {
                          return;
                      }
                      // When both calls are lost, the lease ends by itself.
                      store_.end_lease(
                          lease, call_timeout,
                          [](std::variant<std::monostate, store_error>&& /*ended*/) {});
                  });
}

void leader_election::claim() {
    claiming_ = true;
    const std::weak_ptr<int> alive = alive_;
    store_.grant_lease(settings_.lease, call_timeout,
                       [this, alive](std::variant<granted_lease, store_error>&& result) {
                           if (alive.expired()) {
                               return;
                           }
                           const granted_lease* const granted = std::get_if<granted_lease>(&result);
                           if (granted == nullptr || resigned_ || !may_claim()) {
                               claim_failed();
                               return;
                           }
                           write_claim(granted->lease);
                       });
}

void leader_election::write_claim(store_lease lease) {
    const epoch_number epoch = control_.epoch() + 1;
    store_transaction transaction;
    const bool replaces_itself = control_.leader().has_value();
    transaction.expected = {{store_keys::leader, control_.leader_revision()},
                            {store_keys::epoch, control_.epoch_revision()}};
    transaction.writes = {{store_keys::leader, encode_leader({epoch, address_, name_}), lease},
                          {store_keys::epoch, std::to_string(epoch), no_lease}};
    const std::weak_ptr<int> alive = alive_;
    const boot_time asked_at = boot_now();
    store_.commit(
        transaction, call_timeout,
        [this, alive, epoch, lease, replaces_itself,
         asked_at](std::variant<store_commit, store_conflict, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            if (const store_commit* const commit = std::get_if<store_commit>(&result)) {
                elected({epoch, commit->revision, earlier_leader_until(epoch, replaces_itself)},
                        lease, asked_at);
                return;
            }
            // A claim that took effect without an answer ends with its lease.
            store_.end_lease(lease, call_timeout,
                             [](std::variant<std::monostate, store_error>&& /*ended*/) {});
            claim_failed();
        });
}

void leader_election::claim_failed() {
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(boot_now() + claim_pause, [this, alive] {
        if (!alive.expired()) {
            claiming_ = false;
            control_changed();
        }
    });
}

boot_time leader_election::earlier_leader_until(epoch_number epoch, bool replaced_itself) const {
    const boot_time now = boot_now();
    const epoch_number previous = epoch - 1;
    // The previous leader has ended, and those before it had ended in its time.
    const bool ended = replaced_itself || control_.is_released(previous);
    const bool all_ended = ended && control_.is_settled(previous);
    return epoch == 1 || all_ended ? now : now + settings_.longest_unconfirmed;
}

void leader_election::elected(const leadership& won, store_lease lease, boot_time confirmed_at) {
    claiming_ = false;
    lease_ = lease;
    confirmed_at_ = confirmed_at;
    leadership_ = won;
    settled_ = false;
    write_log(log_part::membership, log_level::info, "Leads.",
              "epoch=" + std::to_string(won.epoch) +
                  " revision=" + std::to_string(won.epoch_revision));
    handlers_.on_elected(*leadership_);
    settle();
}

void leader_election::settle() {
    if (!leads() || settled_ || boot_now() < leadership_->earlier_until) {
        return;
    }
    settled_ = true;
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, leadership_->epoch_revision}};
    transaction.writes = {{store_keys::settled, std::to_string(leadership_->epoch), no_lease}};
    const std::weak_ptr<int> alive = alive_;
    const epoch_number epoch = leadership_->epoch;
    store_.commit(
        transaction, call_timeout,
        [this, alive, epoch](std::variant<store_commit, store_conflict, store_error>&& result) {
            const bool failed = std::holds_alternative<store_error>(result);
            if (!alive.expired() && failed && leads() && leadership_->epoch == epoch) {
                settled_ = false; // The next renewal tries again.
            }
        });
}

void leader_election::renew() {
    if (!leads()) {
        // A claim that found no leader is tried again, also when no change tells of it.
        control_changed();
        return;
    }
    if (boot_now() >= confirmed_at_ + settings_.longest_unconfirmed) {
        depose("unconfirmed");
        return;
    }
    settle();
    if (std::exchange(renewing_, true)) {
        return;
    }
    const std::weak_ptr<int> alive = alive_;
    const boot_time asked_at = boot_now();
    const store_lease lease = lease_;
    store_.renew_lease(
        lease, call_timeout,
        [this, alive, asked_at, lease](std::variant<std::monostate, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            renewing_ = false;
            if (!leads() || lease != lease_) {
                return;
            }
            const store_error* const error = std::get_if<store_error>(&result);
            if (error == nullptr) {
                confirmed_at_ = asked_at;
                handlers_.on_confirmed(asked_at);
            } else if (*error == store_error::not_found) {
                depose("lease_ended");
                control_.refresh();
            }
        });
}

void leader_election::depose(const char* reason) {
    write_log(log_part::membership, log_level::info, "Leads no longer.",
              "epoch=" + std::to_string(leadership_->epoch) + " reason=" + reason);
    leadership_.reset();
    lease_ = no_lease;
    handlers_.on_deposed();
}

} // namespace egretstile::daemon
