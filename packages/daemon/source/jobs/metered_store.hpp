#pragma once

#include "telemetry/metrics.hpp"

#include <egretstile/infrastructure/key_value/coordination_store.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace egretstile::daemon {

enum class store_call : std::uint8_t {
    get,
    list,
    watch,
    commit,
    grant_lease,
    renew_lease,
    end_lease
};

inline constexpr std::array<enum_name<store_call>, 7> store_call_names{
    {{store_call::get, "get"},
     {store_call::list, "list"},
     {store_call::watch, "watch"},
     {store_call::commit, "commit"},
     {store_call::grant_lease, "grant_lease"},
     {store_call::renew_lease, "renew_lease"},
     {store_call::end_lease, "end_lease"}}};

/// Forwards calls to another store, counts them by call and outcome, and times them. Watches are
/// not timed, because they wait for changes by design.
class metered_store : public infrastructure::coordination_store {
public:
    /// `registry` must outlive the store and its calls.
    metered_store(std::unique_ptr<infrastructure::coordination_store> store, metrics& registry);

    void get(const std::string& key, milliseconds timeout, get_callback done) override;
    void list(const std::string& prefix, const std::string& after, milliseconds timeout,
              page_callback done) override;
    void watch(const std::string& prefix, revision_number after, milliseconds wait,
               changes_callback done) override;
    void commit(const infrastructure::store_transaction& transaction, milliseconds timeout,
                commit_callback done) override;
    void grant_lease(milliseconds time_to_live, milliseconds timeout, lease_callback done) override;
    void renew_lease(infrastructure::store_lease lease, milliseconds timeout,
                     done_callback done) override;
    void end_lease(infrastructure::store_lease lease, milliseconds timeout,
                   done_callback done) override;

private:
    /// Success, conflict of a commit, and each error.
    static constexpr std::size_t outcome_count = infrastructure::store_error_names.size() + 2;

    void count(store_call call, std::size_t outcome);
    /// Wraps a callback so that the call is counted, and timed unless it is a watch.
    template <typename Callback>
    Callback with_metrics(store_call call, Callback done);

    std::unique_ptr<infrastructure::coordination_store> store_;
    std::array<std::array<prometheus::Counter*, outcome_count>, store_call_names.size()> calls_{};
    prometheus::Histogram& seconds_;
};

} // namespace egretstile::daemon
