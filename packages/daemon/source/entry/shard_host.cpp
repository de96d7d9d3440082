#include "entry/shard_host.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

/// Pause after a write that had no effect or no known outcome, so that a service that refuses
/// writes above its rate is not loaded further.
constexpr milliseconds write_failure_backoff{250};
/// The terms that a tick checks are seconds long. A tick visits each active task, so a shorter
/// interval would cost processor time and detect the end of a term only slightly sooner.
constexpr milliseconds tick_interval{200};

std::string shard_key(shard_number shard) {
    return "shard/" + std::to_string(shard);
}

/// Whether a write that ended with this error may have taken effect, or may do so later. A conflict
/// may be caused by an earlier write of the same record whose answer was lost.
bool may_have_taken_effect(infrastructure::store_error error) {
    return error == infrastructure::store_error::no_answer ||
           error == infrastructure::store_error::conflict;
}

} // namespace

shard_host::shard_host(event_loop& loop, infrastructure::key_value_store& store,
                       blocking_pool& calls, shard_number shard, const lease_terms& terms,
                       const ledger_limits& limits, milliseconds commit_interval,
                       std::function<void(const task_key&)> on_committed)
    : loop_(loop)
    , store_(store)
    , calls_(calls)
    , shard_(shard)
    , terms_(terms)
    , limits_(limits)
    , commit_interval_(commit_interval)
    , on_committed_(std::move(on_committed))
    , ownership_(shard, entry_id(), terms) {}

void shard_host::set_self(const entry_id& self) {
    end_session();
    self_ = self;
    ownership_ = shard_ownership(shard_, self, terms_);
}

void shard_host::end_session() {
    ++generation_;
    call_in_flight_ = false;
    unresolved_write_.reset();
    ledger_.reset();
    record_.reset();
    self_.clear();
    ownership_.lost();
}

void shard_host::session_confirmed(boot_time sent_at) {
    if (ledger_ != nullptr) {
        ownership_.confirmed(sent_at);
    }
}

void shard_host::maintain(const std::optional<entry_id>& preferred,
                          const std::function<bool(const entry_id&)>& session_ended) {
    if (self_.empty() || !preferred) {
        return;
    }
    const bool should_own = *preferred == self_ && !release_requested_;
    if (ledger_ == nullptr) {
        if (should_own && !call_in_flight_ && !unresolved_write_) {
            read_record(session_ended);
        }
        return;
    }
    const bool is_state_owned = ownership_.state() == ownership_state::owned;
    if (!should_own && is_state_owned && ownership_.may_release(boot_now())) {
        write_log(log_part::shard, log_level::info, "Releasing a shard.",
                  "shard=" + std::to_string(shard_));
        ownership_.release();
    }
}

void shard_host::read_record(const std::function<bool(const entry_id&)>& session_ended) {
    call_in_flight_ = true;
    calls_.submit([this, session_ended, generation = generation_] {
        const read_result read = store_.get(shard_key(shard_));
        loop_.post([this, read, session_ended, generation] {
            if (generation == generation_) {
                call_in_flight_ = false;
                apply_record(read, session_ended);
            }
        });
    });
}

void shard_host::apply_record(const read_result& read,
                              const std::function<bool(const entry_id&)>& session_ended) {
    const infrastructure::stored_value* const stored =
        std::get_if<infrastructure::stored_value>(&read);
    if (stored == nullptr) {
        return;
    }
    shard_record record;
    record.shard = shard_;
    if (stored->revision != 0) {
        std::optional<shard_record> decoded = wire::decode_shard_record(stored->value);
        if (!decoded) {
            write_log(log_part::shard, log_level::error, "A shard record cannot be decoded.",
                      "shard=" + std::to_string(shard_));
            return;
        }
        record = std::move(*decoded);
    }
    recorded_owner_ = record.owner;
    revision_ = stored->revision;
    record_ = std::move(record);
    // The record may name this session after a claim whose answer came too late. The shard can then
    // be claimed as if the owner's session had ended, because no other process uses this id.
    const bool owner_ended = recorded_owner_ == self_ || session_ended(recorded_owner_);
    if (ownership_.should_claim(self_, recorded_owner_, owner_ended)) {
        claim();
    }
}

void shard_host::claim() {
    const entry_id previous_owner = record_->owner;
    shard_record claimed = std::move(*record_);
    record_.reset();
    claimed.owner = self_;
    ++claimed.epoch;
    const std::string bytes = wire::encode_record(claimed);
    ownership_.claim_sent(claimed.epoch, boot_now());
    call_in_flight_ = true;
    write({bytes,
           [this, claimed, previous_owner](boot_time sent_at, revision_number revision) {
               claim_written(claimed, previous_owner, revision, sent_at);
           },
           [this] { ownership_.claim_lost(); }, [this] { ownership_.claim_lost(); }});
}

void shard_host::claim_written(const shard_record& claimed, const entry_id& previous_owner,
                               revision_number revision, boot_time sent_at) {
    const boot_time now = boot_now();
    revision_ = revision;
    recorded_owner_ = self_;
    ownership_.claim_confirmed(sent_at, now, previous_owner);
    ledger_ = std::make_unique<shard_ledger>(claimed, ownership_.unreported_runs_end(), terms_,
                                             limits_, now);
    write_log(log_part::shard, log_level::info, "Took ownership of a shard.",
              "shard=" + std::to_string(shard_) + " epoch=" + std::to_string(claimed.epoch) +
                  " tasks=" + std::to_string(claimed.tasks.size()) +
                  " previous_owner=" + (previous_owner.empty() ? "none" : previous_owner));
}

void shard_host::advance() {
    const boot_time now = boot_now();
    if (may_grant(now) && now >= next_tick_) {
        ledger_->tick(now, wall_now_ms());
        next_tick_ = now + tick_interval;
    }
    if (call_in_flight_ || now < backoff_until_ || now < next_commit_) {
        return;
    }
    if (unresolved_write_) {
        write(*std::exchange(unresolved_write_, std::nullopt));
        return;
    }
    if (ledger_ == nullptr) {
        return;
    }
    if (const std::optional<ledger_commit> commit = ledger_->begin_commit()) {
        next_commit_ = now + commit_interval_;
        write_commit(*commit);
        return;
    }
    if (ownership_.state() == ownership_state::releasing) {
        write_release();
    }
}

void shard_host::write_commit(const ledger_commit& commit) {
    write({wire::encode_record(commit.record),
           [this, number = commit.number](boot_time sent_at, revision_number revision) {
               commit_written(number, revision, sent_at);
           },
           [this, number = commit.number] { ledger_->commit_failed(number); },
           [this] { end_ownership("another entry wrote the record"); }});
}

void shard_host::commit_written(std::uint64_t number, revision_number revision, boot_time sent_at) {
    revision_ = revision;
    ownership_.confirmed(sent_at);
    ledger_->commit_confirmed(number, boot_now());
    for (const task_key& key : ledger_->take_committed_keys()) {
        on_committed_(key);
    }
}

void shard_host::write_release() {
    shard_record released = ledger_->snapshot();
    released.owner.clear();
    write(
        {wire::encode_record(released),
         [this](boot_time /*sent_at*/, revision_number /*revision*/) { end_ownership("released"); },
         [] {}, [this] { end_ownership("another entry wrote the record during the release"); }});
}

void shard_host::end_ownership(const std::string& reason) {
    write_log(log_part::shard, log_level::info, "No longer owns a shard.",
              "shard=" + std::to_string(shard_) + " reason=\"" + reason + "\"");
    ++generation_;
    call_in_flight_ = false;
    unresolved_write_.reset();
    ledger_.reset();
    ownership_.lost();
    recorded_owner_.clear();
}

void shard_host::write(pending_write pending) {
    call_in_flight_ = true;
    const std::shared_ptr<pending_write> shared =
        std::make_shared<pending_write>(std::move(pending));
    calls_.submit([this, shared, expected = revision_, generation = generation_] {
        write_attempt attempt;
        attempt.sent_at = boot_now();
        attempt.written =
            store_.compare_and_swap(shard_key(shard_), expected, shared->bytes, std::nullopt);
        const infrastructure::store_error* const error =
            std::get_if<infrastructure::store_error>(&attempt.written);
        if (error != nullptr && may_have_taken_effect(*error)) {
            attempt.sent_at = boot_now();
            attempt.read = store_.get(shard_key(shard_));
        }
        loop_.post([this, shared, attempt, generation] {
            if (generation == generation_) {
                call_in_flight_ = false;
                handle_write_result(*shared, attempt);
            }
        });
    });
}

void shard_host::handle_write_result(const pending_write& pending, const write_attempt& attempt) {
    if (const revision_number* const revision = std::get_if<revision_number>(&attempt.written)) {
        pending.on_written(attempt.sent_at, *revision);
        return;
    }
    if (!may_have_taken_effect(std::get<infrastructure::store_error>(attempt.written))) {
        back_off();
        pending.on_failed();
        return;
    }
    const infrastructure::stored_value* const stored =
        std::get_if<infrastructure::stored_value>(&attempt.read);
    if (stored == nullptr || stored->revision == revision_) {
        // The write may still reach the service, so only the same record may be written next.
        // Whichever of the two writes arrives second is refused because the revision has changed,
        // and the read after it finds the same bytes.
        back_off();
        unresolved_write_ = pending;
        return;
    }
    if (stored->value == pending.bytes) {
        pending.on_written(attempt.sent_at, stored->revision);
        return;
    }
    pending.on_lost();
}

void shard_host::back_off() {
    backoff_until_ = boot_now() + write_failure_backoff;
}

} // namespace egretstile::daemon
