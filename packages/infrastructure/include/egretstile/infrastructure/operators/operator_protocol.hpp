#pragma once

#include <egretstile/core/job/operator_config.hpp>

#include <string>
#include <variant>

namespace egretstile::infrastructure {

/// The failure domain is out of service while the entry exists.
struct closed_domain {
    failure_domain_name name;
};

/// An entry that is none of the above; it is not used.
struct other_entry {};

struct malformed_entry {
    std::string reason;
};

using operator_entry = std::variant<operator_config, closed_domain, other_entry, malformed_entry>;

/// What the operators write to the store. Thread-safe.
class operator_protocol {
public:
    operator_protocol() = default;
    operator_protocol(const operator_protocol&) = delete;
    operator_protocol& operator=(const operator_protocol&) = delete;
    operator_protocol(operator_protocol&&) = delete;
    operator_protocol& operator=(operator_protocol&&) = delete;
    virtual ~operator_protocol() = default;

    /// Keys of the operators begin with this.
    virtual std::string prefix() const = 0;
    virtual operator_entry decode(const std::string& key, const std::string& value) const = 0;
};

} // namespace egretstile::infrastructure
