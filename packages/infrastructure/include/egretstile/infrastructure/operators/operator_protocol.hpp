#pragma once

#include <egretstile/core/job/operator_config.hpp>

#include <string>
#include <variant>

namespace egretstile::infrastructure {

/// The failure domain is out of service as long as this key exists.
struct closed_domain {
    failure_domain_name name;
};

/// A key of the operators that this program does not use.
struct unrecognized_record {};

/// The value of a known key cannot be decoded.
struct malformed_record {
    std::string reason;
};

/// Decoded key and value that the operators wrote to the store.
using operator_record =
    std::variant<operator_config, closed_domain, unrecognized_record, malformed_record>;

/// Format of the keys and values that the operators write to the store. Thread-safe.
class operator_protocol {
public:
    operator_protocol() = default;
    operator_protocol(const operator_protocol&) = delete;
    operator_protocol& operator=(const operator_protocol&) = delete;
    operator_protocol(operator_protocol&&) = delete;
    operator_protocol& operator=(operator_protocol&&) = delete;
    virtual ~operator_protocol() = default;

    /// Prefix of all keys that the operators write.
    virtual std::string prefix() const = 0;
    /// Key that holds the configuration.
    virtual std::string config_key() const = 0;
    virtual operator_record decode(const std::string& key, const std::string& value) const = 0;
};

} // namespace egretstile::infrastructure
