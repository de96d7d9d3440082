#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/infrastructure/key_value/store_error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace egretstile::infrastructure {

/// Value of a key. Revision zero with an empty value means that the key is absent.
struct stored_value {
    revision_number revision{0};
    std::string value;
};

using lease_id = std::string;

template <typename Result>
using store_result = std::variant<Result, store_error>;

/// Blocking interface of the platform's key-value service. Implementations are thread-safe. Calls
/// block until the response arrives or the implementation's timeout has passed.
class key_value_store {
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    key_value_store(key_value_store&&) = delete;
    key_value_store& operator=(key_value_store&&) = delete;
    virtual ~key_value_store() = default;

    virtual store_result<stored_value> get(const std::string& key) = 0;

    /// Waits until the revision of `key` differs from `after` or `wait` has passed; returns the
    /// current value in both cases.
    virtual store_result<stored_value> watch(const std::string& key, revision_number after,
                                             milliseconds wait) = 0;

    /// Writes `value` if the key's revision is `expected` (zero: absent) and returns the new
    /// revision. With `lease` the key is deleted when that lease ends.
    virtual store_result<revision_number>
    compare_and_swap(const std::string& key, revision_number expected, const std::string& value,
                     const std::optional<lease_id>& lease) = 0;

    /// Deletes the key if its revision is `expected`.
    virtual store_result<std::monostate> remove(const std::string& key,
                                                revision_number expected) = 0;

    virtual store_result<lease_id> grant_lease(milliseconds time_to_live) = 0;

    /// `store_error::not_found` means that the lease has ended and cannot be renewed any more.
    virtual store_result<std::monostate> renew_lease(const lease_id& lease) = 0;

    virtual store_result<std::monostate> revoke_lease(const lease_id& lease) = 0;
};

} // namespace egretstile::infrastructure
