#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>

namespace egretstile {

/// Why an agent refused a start or a request.
enum class refusal : std::uint8_t {
    none,
    no_capacity,
    plan_stale,        ///< The last confirmation of the plan is too old.
    domain_out,        ///< The failure domain is out of service.
    draining,          ///< The VM, its agent or its upstream takes no new work.
    stale_epoch,       ///< The start is from a former owner of the shard, or has epoch 0.
    stale_incarnation, ///< The start is for another boot of the worker.
    grant_expired,     ///< The heartbeat that the start names is too old or was not sent.
    worker_unreachable,
    worker_refused,
    no_upstream,
    deadline,  ///< The deadline has passed, or would pass before a slot is free.
    duplicate, ///< Another attempt of the task has not ended, or there is a later one.
    not_ready  ///< The agent does not know the worker's runs, or a later agent replaced it.
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
