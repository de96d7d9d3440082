#pragma once

#include "entry/task_service.hpp"
#include "net/http_service.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/task/task.hpp>

#include <functional>
#include <string>

namespace egretstile::daemon {

class entry_process;

/// The callers' HTTP interface: requests to services and calls about exclusive tasks. Thread-safe.
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
    task_answer call_until(boot_time deadline, const task_call& call);
    milliseconds deadline_of(const http_request& request) const;

    entry_process& process_;
};

} // namespace egretstile::daemon
