#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>

namespace egretstile {

/// Why an agent refused a start or a request.
enum class refusal : std::uint8_t {
    none,
    no_capacity,
    plan_stale,
    domain_out,
    draining,
    stale_epoch,
    stale_incarnation,
    grant_expired,
    worker_unreachable,
    worker_refused,
    no_upstream,
    deadline,
    duplicate,
    not_ready
};

inline constexpr std::array<enum_name<refusal>, 14> refusal_names{
    {{refusal::none, "none"},
     {refusal::no_capacity, "no_capacity"},
     {refusal::plan_stale, "plan_stale"},
     {refusal::domain_out, "domain_out"},
     {refusal::draining, "draining"},
     {refusal::stale_epoch, "stale_epoch"},
     {refusal::stale_incarnation, "stale_incarnation"},
     {refusal::grant_expired, "grant_expired"},
     {refusal::worker_unreachable, "worker_unreachable"},
     {refusal::worker_refused, "worker_refused"},
     {refusal::no_upstream, "no_upstream"},
     {refusal::deadline, "deadline"},
     {refusal::duplicate, "duplicate"},
     {refusal::not_ready, "not_ready"}}};

} // namespace egretstile
