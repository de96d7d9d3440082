#pragma once

#include <egretstile/infrastructure/worker/worker.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::infrastructure {

class http_client;

/// Client of the worker's HTTP interface (docs/design.md, section 6), over persistent connections.
/// Calls are never repeated. Thread-safe, but the destructor: no call may start once it runs; calls
/// in progress end within 100 ms.
///
/// Each call carries the query parameter `incarnation`. Bodies are JSON; boot-clock times are
/// integer nanoseconds. The ID of a run is its key, a colon and its attempt, percent-encoded. Field
/// names are those of `worker_status`, `worker_start` and `worker_renewal`, with key and attempt in
/// place of the run, `tasks` for the status's runs and `declared_run_time_ms` in the spec.
/// `suspend`, `stop` and `checkpoint` answer `{"checkpoint": ...}`. Status 409: refused.
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

    /// Ends calls in progress within 100 ms with `no_answer`; later calls give `unavailable`.
    void abort();

private:
    worker_result<std::string> act(incarnation_number incarnation, const task_run& run,
                                   const std::string& action, const std::string& body);
    worker_result<std::string> act_for_checkpoint(incarnation_number incarnation,
                                                  const task_run& run, const std::string& action,
                                                  const std::string& body);

    std::unique_ptr<http_client> client_;
    milliseconds timeout_;
};

} // namespace egretstile::infrastructure
