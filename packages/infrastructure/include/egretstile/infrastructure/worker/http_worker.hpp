#pragma once

#include <egretstile/infrastructure/worker/worker.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::infrastructure {

class http_client;

/// Client of the worker's HTTP interface (docs/design.md, section 6), over persistent connections.
/// Calls are never retried. Thread-safe except for the destructor: no call may start once it runs;
/// it ends calls in progress within 100 ms.
///
/// Each call carries the query parameter `incarnation`. Bodies are JSON; boot-clock times are
/// integer nanoseconds. The id of a run is its key, a colon and its attempt, percent-encoded. The
/// JSON fields have the names of the members of `worker_status`, `worker_start` and
/// `worker_renewal`, with these differences: key and attempt replace the run, the status lists its
/// runs as `tasks`, and the spec has `declared_run_time_ms`. The response to `suspend`, `stop` and
/// `checkpoint` is an object with the field `checkpoint`. Status 409 means that the worker refused
/// the call.
class http_worker final : public worker {
public:
    /// `timeout` limits each call.
    http_worker(const std::string& host, std::uint16_t port, milliseconds timeout);
    http_worker(const http_worker&) = delete;
    http_worker& operator=(const http_worker&) = delete;
    http_worker(http_worker&&) = delete;
    http_worker& operator=(http_worker&&) = delete;
    ~http_worker() override;

    worker_result<worker_status> status(incarnation_number incarnation) override;
    worker_result<std::monostate> start(incarnation_number incarnation,
                                        const worker_start& start) override;
    worker_result<std::monostate> renew(incarnation_number incarnation,
                                        const std::vector<worker_renewal>& renewals) override;
    worker_result<std::string> checkpoint(incarnation_number incarnation,
                                          const task_run& run) override;
    worker_result<std::string> suspend(incarnation_number incarnation,
                                       const task_run& run) override;
    worker_result<std::monostate> resume(incarnation_number incarnation, const task_run& run,
                                         boot_time lease_until) override;
    worker_result<std::monostate> throttle(incarnation_number incarnation, const task_run& run,
                                           std::uint32_t cpu_percent) override;
    worker_result<std::string> stop(incarnation_number incarnation, const task_run& run,
                                    bool take_checkpoint) override;
    worker_result<std::monostate> forget(incarnation_number incarnation,
                                         const task_run& run) override;

    /// Ends calls in progress within 100 ms with `no_answer`; later calls return `unavailable`.
    void abort();

private:
    worker_result<std::string> post_action(incarnation_number incarnation, const task_run& run,
                                           const std::string& action, const std::string& body);
    worker_result<std::string> post_action_for_checkpoint(incarnation_number incarnation,
                                                          const task_run& run,
                                                          const std::string& action,
                                                          const std::string& body);

    std::unique_ptr<http_client> client_;
    milliseconds timeout_;
};

} // namespace egretstile::infrastructure
