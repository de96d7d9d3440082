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

/// A request as its entry numbered it.
struct request_id {
    entry_id entry;
    std::uint64_t number{0};

    friend bool operator==(const request_id&, const request_id&) = default;

    friend bool operator<(const request_id& left, const request_id& right) {
        return std::tie(left.entry, left.number) < std::tie(right.entry, right.number);
    }
};

/// Whether the upstream takes requests.
enum class upstream_presence : std::uint8_t { absent, ready, leaving };

struct gate_limits {
    /// Requests that wait for a slot.
    std::size_t max_waiting{64};
    /// A later deadline is shortened to this; bounds how long request ids are remembered.
    milliseconds longest_deadline{60000};
};

/// Send the request to the upstream now, then call `finished`. It holds a slot until then.
struct request_admitted {
    request_id id;
};

/// The request waits for a slot; its fate comes with a later step.
struct request_waiting {
    request_id id;
};

/// The request was not sent and will not be: the answer is "not run".
struct request_refused {
    request_id id;
    refusal reason{refusal::none};
};

/// The id was seen before. The earlier request may have run, so the answer must not be "not run".
struct request_duplicate {
    request_id id;
};

using gate_decision =
    std::variant<request_admitted, request_waiting, request_refused, request_duplicate>;

/// What became of a request that was waiting.
using gate_step = std::variant<request_admitted, request_refused>;

/// How a request in the upstream ended.
enum class request_end : std::uint8_t {
    answered,
    failed ///< No whole answer; its duration says nothing about the answer time.
};

enum class cancel_result : std::uint8_t {
    cancelled,   ///< It was waiting; it did not run and will not.
    in_upstream, ///< It holds a slot; it may have run.
    unknown      ///< It neither waits nor holds a slot.
};

/// Limits the requests of one agent to its upstream. A request holds one of the upstream's slots
/// from `request_admitted` to `finished`; others wait, earliest deadline first. Each request that
/// waits gets exactly one step, unless it is cancelled. A new gate has no upstream.
///
/// An id is remembered until its deadline has passed, also when the request was refused or
/// cancelled, and while it waits or holds a slot.
///
/// Makes no calls. Not thread-safe; `now` must not go back between calls.
class request_gate {
public:
    explicit request_gate(const gate_limits& limits)
        : limits_(limits) {}

    /// When the upstream is not ready, all waiting requests are refused; those in the upstream go
    /// on. `slots` below the slots in use takes effect as they become free.
    std::vector<gate_step> set_upstream(upstream_presence presence, std::size_t slots,
                                        boot_time now);

    /// The reason of a refusal is `deadline`, `no_capacity` (too many wait), `no_upstream` or
    /// `draining` (the upstream is leaving).
    gate_decision offer(const request_id& id, boot_time deadline, boot_time now);

    /// Frees the slot of an admitted request; any other id is ignored.
    std::vector<gate_step> finished(const request_id& id, request_end end, boot_time now);

    cancel_result cancel(const request_id& id);

    /// Refuses waiting requests whose deadline has passed and forgets old ids.
    std::vector<gate_step> tick(boot_time now);

    /// Earliest deadline of a waiting request: when `tick` has something to refuse next.
    std::optional<boot_time> next_tick() const;

    upstream_presence presence() const { return presence_; }

    std::size_t slots() const { return slots_; }

    std::size_t slots_in_use() const { return in_upstream_.size(); }

    std::size_t waiting() const { return waiting_.size(); }

    /// Ids kept to recognise duplicates.
    std::size_t remembered() const { return seen_.size(); }

    /// Moving average over the answered requests; nothing before the first one.
    std::optional<boot_clock::duration> answer_time() const { return answer_time_; }

private:
    /// Position of a waiting request: the earliest deadline first, then the order of arrival.
    using waiting_position = std::pair<boot_time, std::uint64_t>;

    refusal why_refused(boot_time deadline, boot_time now) const;
    bool slot_is_free() const;
    /// Estimated time until a request with this deadline gets a slot.
    boot_clock::duration estimated_wait(boot_time deadline) const;
    void take_slot(const request_id& id, boot_time now);
    void observe_answer(boot_clock::duration duration);
    std::vector<gate_step> refuse_waiting(refusal reason);
    /// Gives free slots to waiting requests and refuses those whose deadline has passed.
    std::vector<gate_step> serve_waiting(boot_time now);
    request_id pop_waiting();
    void forget_ids(boot_time now);

    gate_limits limits_;
    upstream_presence presence_{upstream_presence::absent};
    std::size_t slots_{0};
    std::uint64_t arrivals_{0};
    std::optional<boot_clock::duration> answer_time_;
    /// Admitted requests with the time of their admission.
    std::map<request_id, boot_time> in_upstream_;
    std::map<waiting_position, request_id> waiting_;
    std::map<request_id, waiting_position> waiting_positions_;
    std::map<request_id, boot_time> seen_;
    std::set<std::pair<boot_time, request_id>> seen_deadlines_;
};

} // namespace egretstile
