#pragma once

#include <egretstile/runtime/net/event_loop.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace egretstile::daemon {

/// Runs `function` on the loop's thread and blocks until it passes a result to its callback.
/// Returns nothing when `timeout` passes first; a later result is discarded. Thread-safe, but must
/// not be called on the loop's own thread, which would wait for itself.
template <typename Result>
std::optional<Result> call_on_loop(event_loop& loop, milliseconds timeout,
                                   std::function<void(std::function<void(Result)>)> function) {
    const std::shared_ptr<std::promise<Result>> promise = std::make_shared<std::promise<Result>>();
    std::future<Result> future = promise->get_future();
    loop.post([promise, function = std::move(function)] {
        function([promise](Result result) { promise->set_value(std::move(result)); });
    });
    if (future.wait_for(timeout) != std::future_status::ready) {
        return std::nullopt;
    }
    return future.get();
}

} // namespace egretstile::daemon
