#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace egretstile {

/// Identifies a request by its entry and the number that the entry gave it.
struct request_id {
    entry_id entry;
    std::uint64_t number{0};

    friend bool operator==(const request_id&, const request_id&) = default;

    friend bool operator<(const request_id& left, const request_id& right) {
        return std::tie(left.entry, left.number) < std::tie(right.entry, right.number);
    }
};

/// Whether the upstream accepts requests.
enum class upstream_availability : std::uint8_t {
    absent,
    ready,
    leaving ///< The upstream finishes its requests and accepts no new ones.
};

/// Limits of a `request_limiter`.
struct request_limiter_settings {
    /// Maximum number of requests that wait for a slot.
    std::size_t max_waiting{64};
    /// A deadline that is further away is shortened to this. Bounds how long request ids are kept.
    milliseconds max_time_to_deadline{60000};
};

/// The caller must send the request to the upstream now and call `finished` when it has ended. The
/// request holds a slot until then.
struct request_admitted {
    request_id id;
};

/// The request waits for a slot. A later call returns its outcome as a `waiting_outcome`.
struct request_waiting {
    request_id id;
};

/// The request was not sent to the upstream and will not be, so the answer is "not run".
struct request_refused {
    request_id id;
    refusal reason{refusal::none};
};

/// A request with this id was received before. It may have run, so the answer must not be "not
/// run".
struct request_duplicate {
    request_id id;
};

using limiter_decision =
    std::variant<request_admitted, request_waiting, request_refused, request_duplicate>;

/// Outcome of a request that was waiting for a slot.
using waiting_outcome = std::variant<request_admitted, request_refused>;

/// How a request in the upstream ended.
enum class request_end : std::uint8_t {
    answered,
    failed ///< No complete response. Its duration does not count as a response time.
};

enum class cancel_result : std::uint8_t {
    cancelled,   ///< It was waiting. It did not run and will not.
    in_upstream, ///< It holds a slot and may have run.
    unknown      ///< It does not wait and holds no slot.
};

/// Limits the concurrent requests of one agent to its upstream. A request holds one of the
/// upstream's slots from `request_admitted` to `finished`. Other requests wait for a slot and get
/// one in order of their deadlines, the earliest first. For each request that waits, exactly one
/// `waiting_outcome` is returned, unless the request is cancelled. The upstream is absent until the
/// first `set_upstream`.
///
/// A request id is kept, to recognise duplicates, until its deadline has passed, also when the
/// request was refused or cancelled. While the request waits or holds a slot, its id is recognised
/// also after the deadline.
///
/// Makes no calls. Not thread-safe. Precondition: `now` does not decrease between calls.
class request_limiter {
public:
    explicit request_limiter(const request_limiter_settings& limits)
        : limits_(limits) {}

    /// Sets the availability and the number of slots of the upstream. When it is not ready, all
    /// waiting requests are refused and requests in the upstream continue. When `slots` is lower
    /// than the number of slots in use, no request is interrupted; none is admitted until enough
    /// slots are free.
    std::vector<waiting_outcome> set_upstream(upstream_availability availability, std::size_t slots,
                                              boot_time now);

    /// Decides on a new request. The reason of a refusal is `deadline`, `no_capacity` (too many
    /// requests wait), `no_upstream` or `draining` (the upstream is leaving).
    limiter_decision offer(const request_id& id, boot_time deadline, boot_time now);

    /// Frees the slot of an admitted request. An id without a slot is ignored.
    std::vector<waiting_outcome> finished(const request_id& id, request_end end, boot_time now);

    cancel_result cancel(const request_id& id);

    /// Refuses waiting requests whose deadline has passed, and removes expired ids.
    std::vector<waiting_outcome> tick(boot_time now);

    /// Earliest deadline of a waiting request, which is when `tick` should be called next; nothing
    /// when no request waits.
    std::optional<boot_time> next_tick() const;

    upstream_availability availability() const { return availability_; }

    std::size_t slots() const { return slots_; }

    std::size_t slots_in_use() const { return in_upstream_.size(); }

    std::size_t waiting() const { return waiting_.size(); }

    /// Number of ids kept to recognise duplicates.
    std::size_t retained_ids() const { return retained_ids_.size(); }

    /// Exponential moving average of the time from admission to response, over the answered
    /// requests since the upstream became ready; nothing before the first one.
    std::optional<boot_clock::duration> response_time() const { return response_time_; }

private:
    /// Position of a waiting request: the earliest deadline first, then the order of arrival.
    using waiting_position = std::pair<boot_time, std::uint64_t>;

    refusal refusal_reason(boot_time deadline, boot_time now) const;
    bool has_free_slot() const;
    /// Estimated time until a request with this deadline gets a slot.
    boot_clock::duration estimated_wait(boot_time deadline) const;
    void occupy_slot(const request_id& id, boot_time now);
    /// Adds a sample to the moving average.
    void update_response_time(boot_clock::duration duration);
    std::vector<waiting_outcome> refuse_waiting(refusal reason);
    /// Admits waiting requests to free slots, and refuses those whose deadline has passed.
    std::vector<waiting_outcome> admit_waiting(boot_time now);
    request_id pop_waiting();
    void expire_ids(boot_time now);

    request_limiter_settings limits_;
    upstream_availability availability_{upstream_availability::absent};
    std::size_t slots_{0};
    std::uint64_t next_arrival_{0};
    std::optional<boot_clock::duration> response_time_;
    /// Admitted requests with the time of their admission.
    std::map<request_id, boot_time> in_upstream_;
    std::map<waiting_position, request_id> waiting_;
    std::map<request_id, waiting_position> waiting_positions_;
    /// Ids kept to recognise duplicates, with the time after which each is removed.
    std::map<request_id, boot_time> retained_ids_;
    /// The same ids in order of expiry.
    std::set<std::pair<boot_time, request_id>> id_expiries_;
};

} // namespace egretstile
