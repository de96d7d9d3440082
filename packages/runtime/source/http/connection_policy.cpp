#include "http/connection_policy.hpp"

#include <algorithm>

namespace egretstile {

namespace {

/// Added to the operators' limit for a header while nothing runs short: the link of a client may be
/// cut for up to 13 s.
constexpr milliseconds head_allowance{15000};
/// Time for a body or a response besides that at the minimum rate; covers a link that is cut and
/// then starts slowly.
constexpr milliseconds transfer_allowance{20000};
constexpr double min_bytes_per_ms = 16.0;
constexpr milliseconds drain_limit{5000};

/// With too many connections, one without a complete request is closed no earlier than this: its
/// first request may be on its way. New clients wait that long for a flood of silent ones.
constexpr milliseconds min_fresh_age{200};
/// With too many connections, a client that has not read its response for this long makes way.
constexpr milliseconds min_unread_age{5000};

/// Order in which connections are closed for others; within a class the oldest goes first.
enum class closing_class : std::uint8_t { fresh = 1, incomplete, idle, refused };

double rank_of(closing_class order, milliseconds age) {
    constexpr double class_span_ms = 1e12;
    return static_cast<double>(order) * class_span_ms + static_cast<double>(age.count());
}

milliseconds age_of(const connection_facts& facts, boot_time now) {
    return std::max(std::chrono::duration_cast<milliseconds>(now - facts.since), milliseconds(0));
}

bool is_too_slow(const connection_facts& facts, milliseconds age) {
    const double allowed_ms = static_cast<double>(transfer_allowance.count()) +
                              static_cast<double>(facts.bytes) / min_bytes_per_ms;
    return static_cast<double>(age.count()) > allowed_ms;
}

} // namespace

int status_of(http_refusal reason) {
    switch (reason) {
    case http_refusal::malformed_head:
        return 400;
    case http_refusal::head_too_large:
        return 431;
    case http_refusal::no_content_length:
        return 411;
    case http_refusal::body_too_large:
        return 413;
    case http_refusal::slow_head:
    case http_refusal::slow_body:
        return 408;
    default:
        return 503;
    }
}

std::optional<http_refusal> overdue(const connection_facts& facts,
                                    const connection_time_limits& limits, bool is_short,
                                    boot_time now) {
    const milliseconds age = age_of(facts, now);
    const milliseconds head_limit =
        limits.header_timeout + (is_short ? milliseconds(0) : head_allowance);
    switch (facts.phase) {
    case connection_phase::idle:
        return age > limits.idle_limit ? std::optional(http_refusal::idle) : std::nullopt;
    case connection_phase::reading_head:
        return age > std::min(head_limit, limits.idle_limit)
                   ? std::optional(http_refusal::slow_head)
                   : std::nullopt;
    case connection_phase::reading_body:
        return is_too_slow(facts, age) || age > limits.idle_limit
                   ? std::optional(http_refusal::slow_body)
                   : std::nullopt;
    case connection_phase::sending:
        return is_too_slow(facts, age) ? std::optional(http_refusal::slow_reader) : std::nullopt;
    case connection_phase::draining:
        return age > std::min(drain_limit, limits.idle_limit)
                   ? std::optional(http_refusal::slow_reader)
                   : std::nullopt;
    case connection_phase::handling:
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<double> connection_rank(const connection_facts& facts,
                                      const connection_time_limits& limits, boot_time now) {
    const milliseconds age = age_of(facts, now);
    switch (facts.phase) {
    case connection_phase::draining:
        return rank_of(closing_class::refused, age);
    case connection_phase::idle:
        if (facts.has_answered) {
            return age >= limits.idle_floor ? std::optional(rank_of(closing_class::idle, age))
                                            : std::nullopt;
        }
        break;
    case connection_phase::reading_head:
    case connection_phase::reading_body:
        break;
    case connection_phase::sending:
        return age >= min_unread_age ? std::optional(rank_of(closing_class::incomplete, age))
                                     : std::nullopt;
    case connection_phase::handling:
        return std::nullopt;
    }
    if (age >= limits.header_timeout) {
        return rank_of(closing_class::incomplete, age);
    }
    const bool is_fresh = !facts.has_answered && facts.phase != connection_phase::reading_body;
    return is_fresh && age >= min_fresh_age ? std::optional(rank_of(closing_class::fresh, age))
                                            : std::nullopt;
}

std::optional<double> memory_rank(const connection_facts& facts, boot_time now) {
    const bool can_be_closed = facts.phase == connection_phase::reading_head ||
                               facts.phase == connection_phase::reading_body ||
                               facts.phase == connection_phase::sending;
    if (!can_be_closed || facts.held_bytes == 0) {
        return std::nullopt;
    }
    return static_cast<double>(facts.held_bytes) *
           static_cast<double>(age_of(facts, now).count() + 1);
}

} // namespace egretstile
