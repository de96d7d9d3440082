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
/// Short, so that a renewal that is lost with its connection can be repeated before the lease ends;
/// longer than the answer times of a slow store, which in the deployments reach 0.3 s.
constexpr milliseconds renewal_timeout{500};
constexpr milliseconds claim_retry_delay{200};
/// Claim delay of an entry with one core. The delay is inversely proportional to the processor
/// share; the smallest entries have a fifteenth of a core.
constexpr milliseconds claim_delay_of_one_core{25};
/// Well below the leader's lease.
constexpr milliseconds max_claim_delay{250};

} // namespace

election_settings election_settings_for(double processor_share) {
    election_settings settings;
    const double delay = static_cast<double>(claim_delay_of_one_core.count()) / processor_share;
    settings.claim_delay = milliseconds(
        static_cast<std::int64_t>(std::min(delay, static_cast<double>(max_claim_delay.count()))));
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

void leader_election::handle_control_change() {
    if (leads()) {
        if (control_.epoch() > leadership_->epoch) {
            end_leadership("later_epoch");
        }
        return;
    }
    track_vacancy();
    if (!resigned_ && !claiming_ && control_.is_loaded() && may_claim() && claim_delay_elapsed()) {
        claim();
    }
}

void leader_election::track_vacancy() {
    if (control_.leader()) {
        no_leader_since_ = boot_time();
        return;
    }
    // A later epoch shows a leader that has come and gone without being seen.
    if (no_leader_since_ != boot_time() && vacant_epoch_ == control_.epoch()) {
        return;
    }
    vacant_epoch_ = control_.epoch();
    no_leader_since_ = boot_now();
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(no_leader_since_ + settings_.claim_delay, [this, alive] {
        if (!alive.expired()) {
            handle_control_change();
        }
    });
}

bool leader_election::claim_delay_elapsed() const {
    // The leader, if there is one, is an earlier process of this entry; see `may_claim`.
    return control_.leader() || boot_now() >= no_leader_since_ + settings_.claim_delay;
}

bool leader_election::may_claim() const {
    // No two processes run under one name, so a leader of this name is an earlier process that has
    // ended.
    return !control_.leader() || control_.leader()->name == name_;
}

void leader_election::handle_later_epoch() {
    if (leads()) {
        end_leadership("later_epoch");
    }
    control_.refresh();
}

void leader_election::resign() {
    resigned_ = true;
    if (!leads()) {
        return;
    }
    const store_lease lease = lease_;
    const leadership ended_leadership = *leadership_;
    end_leadership("resigned");
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, ended_leadership.epoch_revision}};
    transaction.removals = {store_keys::leader};
    const std::weak_ptr<int> alive = alive_;
    store_.commit(
        transaction, call_timeout,
        [this, alive, lease](std::variant<store_commit, store_conflict, store_error>&& /*result*/) {
            if (alive.expired()) {
                return;
            }
            // If both calls fail, the leader's key is removed when the lease expires.
            store_.end_lease(lease, call_timeout,
                             [](std::variant<std::monostate, store_error>&& /*ended*/) {});
        });
}

void leader_election::claim() {
    claiming_ = true;
    const std::weak_ptr<int> alive = alive_;
    const boot_time requested_at = boot_now();
    store_.grant_lease(
        settings_.lease, call_timeout,
        [this, alive, requested_at](std::variant<granted_lease, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            const granted_lease* const granted = std::get_if<granted_lease>(&result);
            if (granted == nullptr || resigned_ || !may_claim()) {
                retry_claim_later();
                return;
            }
            write_claim(granted->lease, requested_at);
        });
}

void leader_election::write_claim(store_lease lease, boot_time lease_requested_at) {
    const epoch_number epoch = control_.epoch() + 1;
    store_transaction transaction;
    transaction.expected = {{store_keys::leader, control_.leader_revision()},
                            {store_keys::epoch, control_.epoch_revision()}};
    transaction.writes = {{store_keys::leader, encode_leader({epoch, address_, name_}), lease},
                          {store_keys::epoch, std::to_string(epoch), no_lease}};
    const std::weak_ptr<int> alive = alive_;
    const boot_time earlier_permissions_until = earlier_permissions_bound(epoch);
    store_.commit(transaction, call_timeout,
                  [this, alive, epoch, lease, lease_requested_at, earlier_permissions_until](
                      std::variant<store_commit, store_conflict, store_error>&& result) {
                      if (alive.expired()) {
                          return;
                      }
                      if (const store_commit* const commit = std::get_if<store_commit>(&result)) {
                          begin_leadership({epoch, commit->revision, lease_requested_at,
                                            earlier_permissions_until, control_.epochs_seen()},
                                           lease);
                          return;
                      }
                      // Removes the claim if it took effect although its answer was lost.
                      store_.end_lease(
                          lease, call_timeout,
                          [](std::variant<std::monostate, store_error>&& /*ended*/) {});
                      retry_claim_later();
                  });
}

void leader_election::retry_claim_later() {
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(boot_now() + claim_retry_delay, [this, alive] {
        if (!alive.expired()) {
            claiming_ = false;
            handle_control_change();
        }
    });
}

boot_time leader_election::earlier_permissions_bound(epoch_number epoch) const {
    if (epoch == 1) {
        return boot_now();
    }
    // The store has confirmed no earlier leader since its key was seen to be absent. The claim
    // fails if there has been another leader since.
    const boot_time confirmed_until =
        no_leader_since_ == boot_time() ? boot_now() : no_leader_since_;
    return confirmed_until + settings_.max_unconfirmed_time;
}

void leader_election::begin_leadership(const leadership& acquired, store_lease lease) {
    claiming_ = false;
    lease_ = lease;
    confirmed_at_ = acquired.confirmed_at;
    leadership_ = acquired;
    write_log(log_part::membership, log_level::info, "Leads.",
              "epoch=" + std::to_string(acquired.epoch) +
                  " revision=" + std::to_string(acquired.epoch_revision));
    handlers_.on_elected(*leadership_);
}

void leader_election::renew() {
    if (!leads()) {
        // Tries again to claim when there is no leader, even if no change of the control keys
        // arrives.
        handle_control_change();
        return;
    }
    if (boot_now() >= confirmed_at_ + settings_.max_unconfirmed_time) {
        end_leadership("unconfirmed");
        return;
    }
    if (std::exchange(renewing_, true)) {
        return;
    }
    const std::weak_ptr<int> alive = alive_;
    const boot_time requested_at = boot_now();
    const store_lease lease = lease_;
    store_.renew_lease(
        lease, renewal_timeout,
        [this, alive, requested_at, lease](std::variant<std::monostate, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            renewing_ = false;
            if (!leads() || lease != lease_) {
                return;
            }
            const store_error* const error = std::get_if<store_error>(&result);
            if (error == nullptr) {
                confirmed_at_ = requested_at;
                handlers_.on_confirmed(requested_at);
            } else if (*error == store_error::not_found) {
                end_leadership("lease_ended");
                control_.refresh();
            } else {
                retry_renewal_later();
            }
        });
}

void leader_election::retry_renewal_later() {
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(boot_now() + settings_.renewal_retry_delay, [this, alive] {
        if (!alive.expired() && leads()) {
            renew();
        }
    });
}

void leader_election::end_leadership(const char* reason) {
    write_log(log_part::membership, log_level::info, "Leadership ended.",
              "epoch=" + std::to_string(leadership_->epoch) + " reason=" + reason);
    leadership_.reset();
    lease_ = no_lease;
    handlers_.on_leadership_lost();
}

} // namespace egretstile::daemon
