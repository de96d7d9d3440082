#pragma once

#include <egretstile/infrastructure/caller/caller_protocol.hpp>
#include <egretstile/infrastructure/key_value/coordination_store.hpp>
#include <egretstile/infrastructure/operators/operator_protocol.hpp>
#include <egretstile/infrastructure/runner/registration_protocol.hpp>
#include <egretstile/infrastructure/runner/task_runner.hpp>
#include <egretstile/runtime/net/endpoint.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <memory>

namespace egretstile {

/// Creates the clients of the platform that the processes run on (key-value store and task runner)
/// and gives access to its protocols. Implementations must outlive the objects that they create.
class platform_access {
public:
    platform_access() = default;
    platform_access(const platform_access&) = delete;
    platform_access& operator=(const platform_access&) = delete;
    platform_access(platform_access&&) = delete;
    platform_access& operator=(platform_access&&) = delete;
    virtual ~platform_access() = default;

    virtual std::unique_ptr<infrastructure::coordination_store>
    make_store(event_loop& loop, const endpoint& address) const = 0;
    virtual std::unique_ptr<infrastructure::task_runner>
    make_runner(event_loop& loop, const endpoint& address) const = 0;
    virtual const infrastructure::caller_protocol& callers() const = 0;
    virtual const infrastructure::operator_protocol& operators() const = 0;
    virtual const infrastructure::registration_protocol& registrations() const = 0;
};

} // namespace egretstile
