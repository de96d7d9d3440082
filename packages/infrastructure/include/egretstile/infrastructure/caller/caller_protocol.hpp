#pragma once

#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <cstddef>
#include <string>
#include <variant>

namespace egretstile::infrastructure {

/// The submitted body is not a valid job.
struct malformed_job {
    std::string reason;
};

/// Format of the HTTP calls that submit jobs and query their state. Thread-safe.
class caller_protocol {
public:
    caller_protocol() = default;
    caller_protocol(const caller_protocol&) = delete;
    caller_protocol& operator=(const caller_protocol&) = delete;
    caller_protocol(caller_protocol&&) = delete;
    caller_protocol& operator=(caller_protocol&&) = delete;
    virtual ~caller_protocol() = default;

    /// Decodes a submitted job; its id and queue are left empty.
    virtual std::variant<job_spec, malformed_job> decode_job(const std::string& body) const = 0;
    virtual std::string encode_state(job_state state) const = 0;
    /// Encodes the number of pending jobs of a queue.
    virtual std::string encode_pending(std::size_t count) const = 0;
    /// Whether `text` has the form of a job id.
    virtual bool is_job_id(const std::string& text) const = 0;
    /// Name, in lower case, of the header that holds how long the caller waits, in milliseconds.
    virtual std::string deadline_header() const = 0;
    /// Path at which the load balancer checks whether the process accepts new connections.
    virtual std::string ready_path() const = 0;
};

} // namespace egretstile::infrastructure
