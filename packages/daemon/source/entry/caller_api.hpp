#pragma once

#include "entry/task_service.hpp"
#include "net/http_service.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/task/task.hpp>

#include <functional>
#include <string>

namespace egretstile::daemon {

class entry_process;

/// HTTP interface for callers: requests to services, and calls that submit, query and cancel
/// exclusive tasks. Thread-safe; blocks until the outcome or the deadline. Not for the event loop's
/// thread.
class caller_api {
public:
    explicit caller_api(entry_process& process)
        : process_(process) {}

    http_answer handle(const http_request& request);

private:
    using task_call = std::function<void(boot_time, const task_service::answer_callback&)>;

    http_answer serve(const http_request& request, const std::string& service);
    http_answer submit(const http_request& request);
    http_answer query(const http_request& request, const task_key& key);
    http_answer cancel(const http_request& request, const task_key& key);
    http_answer count_and_convert(const task_answer& answer);
    task_answer call_with_retries(boot_time deadline, const task_call& call);
    /// Time that the caller allows for the call: from the header `deadline-ms`, at most 60 s, or
    /// the default from the settings.
    milliseconds timeout_of(const http_request& request) const;

    entry_process& process_;
};

} // namespace egretstile::daemon
