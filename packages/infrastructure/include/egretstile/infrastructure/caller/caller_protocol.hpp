#pragma once

#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <cstddef>
#include <string>
#include <variant>

namespace egretstile::infrastructure {

struct malformed_job {
    std::string reason;
};

/// Bodies and headers of the calls that submit jobs and ask for them. Thread-safe.
class caller_protocol {
public:
    caller_protocol() = default;
    caller_protocol(const caller_protocol&) = delete;
    caller_protocol& operator=(const caller_protocol&) = delete;
    caller_protocol(caller_protocol&&) = delete;
    caller_protocol& operator=(caller_protocol&&) = delete;
    virtual ~caller_protocol() = default;

    /// A submitted job without its id and queue.
    virtual std::variant<job_spec, malformed_job> decode_job(const std::string& body) const = 0;
    virtual std::string encode_state(job_state state) const = 0;
    virtual std::string encode_pending(std::size_t count) const = 0;
    /// Whether the text can be the id of a job.
    virtual bool is_job_id(const std::string& text) const = 0;
    /// Header, in lower case, with the milliseconds for which the caller waits.
    virtual std::string deadline_header() const = 0;
    /// Path at which the load balancer asks whether the process takes new connections.
    virtual std::string ready_path() const = 0;
};

} // namespace egretstile::infrastructure
