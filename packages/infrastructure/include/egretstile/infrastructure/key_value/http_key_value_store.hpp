#pragma once

#include <egretstile/infrastructure/key_value/key_value_store.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::infrastructure {

class http_client;

/// Client of the key-value service's HTTP interface (docs/design.md, section 6), over persistent
/// connections. Each concurrent call, including a waiting watch, uses its own connection. Calls are
/// never retried. Thread-safe except for the destructor: no call may start once it runs; it ends
/// calls in progress within 100 ms.
class http_key_value_store final : public key_value_store {
public:
    /// `timeout` limits each call; for a watch it is added to the wait time.
    http_key_value_store(const std::string& host, std::uint16_t port, milliseconds timeout);
    http_key_value_store(const http_key_value_store&) = delete;
    http_key_value_store& operator=(const http_key_value_store&) = delete;
    http_key_value_store(http_key_value_store&&) = delete;
    http_key_value_store& operator=(http_key_value_store&&) = delete;
    ~http_key_value_store() override;

    store_result<stored_value> get(const std::string& key) override;
    store_result<stored_value> watch(const std::string& key, revision_number after,
                                     milliseconds wait) override;
    /// `store_error::not_found` means that the lease has ended and nothing was written.
    store_result<revision_number> compare_and_swap(const std::string& key, revision_number expected,
                                                   const std::string& value,
                                                   const std::optional<lease_id>& lease) override;
    store_result<std::monostate> remove(const std::string& key, revision_number expected) override;
    store_result<lease_id> grant_lease(milliseconds time_to_live) override;
    store_result<std::monostate> renew_lease(const lease_id& lease) override;
    store_result<std::monostate> revoke_lease(const lease_id& lease) override;

    /// Ends calls in progress within 100 ms with `no_answer`; later calls return `unavailable`.
    void abort();

private:
    std::unique_ptr<http_client> client_;
    milliseconds timeout_;
};

} // namespace egretstile::infrastructure
