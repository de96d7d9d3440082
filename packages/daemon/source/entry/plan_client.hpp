#pragma once

#include "net/blocking_pool.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/plan/plan_revision_tracker.hpp>
#include <egretstile/infrastructure/key_value/key_value_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace egretstile::daemon {

/// Outcome of a change of the plan.
enum class change_outcome : std::uint8_t {
    accepted,   ///< Written; in force everywhere within the plan freshness bound.
    unchanged,  ///< The plan already has the wanted content.
    conflict,   ///< At each attempt another change was written first.
    unknown,    ///< The answer to the write was lost and reading the plan did not settle it.
    unavailable ///< Nothing was written.
};

struct change_result {
    change_outcome outcome{change_outcome::unavailable};
    plan current;
    revision_number revision{0};
};

/// Local copy of the plan, and changes to the plan at the key-value service. The plan is read once
/// a second, and a watch is always pending. The watch makes changes arrive sooner; only a read
/// proves that the plan was current at a known time.
class plan_client {
public:
    /// Returns the changed plan, or nothing when there is nothing to change. May be called several
    /// times, each time with the plan that was read last.
    using edit = std::function<std::optional<plan>(const plan&)>;

    /// `on_changed` is called on the event loop's thread after each new revision.
    plan_client(event_loop& loop, infrastructure::key_value_store& store,
                std::function<void()> on_changed);
    plan_client(const plan_client&) = delete;
    plan_client& operator=(const plan_client&) = delete;
    plan_client(plan_client&&) = delete;
    plan_client& operator=(plan_client&&) = delete;
    /// Waits for the pending watch, at most for its timeout (5 s).
    ~plan_client();

    /// Starts the periodic reads and the watch.
    void start();

    /// Revision of the local copy and the time at which it was confirmed. For the event loop's
    /// thread only.
    const plan_revision_tracker& revision_tracker() const { return revision_tracker_; }

    /// For the event loop's thread only.
    const plan& current() const { return plan_; }

    /// Reads the plan, edits it and writes it with compare-and-swap; several attempts. `change_id`
    /// is stored with the plan, so that a write whose answer was lost is recognized. Blocks for
    /// calls to the key-value service. Thread-safe; not for the event loop's thread.
    change_result change(const std::string& change_id, const edit& function);

private:
    /// Reads the plan from the key-value service.
    void refresh();
    /// `value` was read by a call that was sent at `sent_at`.
    void apply(const infrastructure::stored_value& value, boot_time sent_at);
    void watch_plan();

    event_loop& loop_;
    infrastructure::key_value_store& store_;
    std::function<void()> on_changed_;
    plan_revision_tracker revision_tracker_;
    plan plan_;
    bool call_in_flight_{false};
    std::atomic<bool> stopped_{false};
    std::atomic<revision_number> watched_revision_{0};
    blocking_pool calls_{1};
    std::thread watch_thread_;
};

} // namespace egretstile::daemon
