#include "jobs/metered_store.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <utility>
#include <variant>

namespace egretstile::daemon {

using namespace infrastructure;

namespace {

constexpr std::size_t outcome_done = 0;
constexpr std::size_t outcome_conflict = 1;
constexpr std::size_t first_error_outcome = 2;

std::size_t outcome_of(store_error error) {
    return first_error_outcome + static_cast<std::size_t>(error);
}

template <typename Result>
std::size_t outcome_of(const std::variant<Result, store_error>& result) {
    const store_error* const error = std::get_if<store_error>(&result);
    return error == nullptr ? outcome_done : outcome_of(*error);
}

std::size_t outcome_of(const std::variant<store_commit, store_conflict, store_error>& result) {
    if (const store_error* const error = std::get_if<store_error>(&result)) {
        return outcome_of(*error);
    }
    return std::holds_alternative<store_conflict>(result) ? outcome_conflict : outcome_done;
}

std::string outcome_name(std::size_t outcome) {
    if (outcome == outcome_done) {
        return "done";
    }
    if (outcome == outcome_conflict) {
        return "changed_before";
    }
    return std::string(
        name_of(store_error_names, static_cast<store_error>(outcome - first_error_outcome)));
}

} // namespace

metered_store::metered_store(std::unique_ptr<coordination_store> store, metrics& registry)
    : store_(std::move(store))
    , seconds_(registry.histogram("egretstile_store_call_seconds",
                                  "Time of a call to the store; watches are left out.",
                                  latency_bucket_bounds())) {
    for (const enum_name<store_call>& row : store_call_names) {
        for (std::size_t outcome = 0; outcome < outcome_count; ++outcome) {
            calls_.at(static_cast<std::size_t>(row.value)).at(outcome) = &registry.counter(
                "egretstile_store_calls_total", "Calls to the store by call and outcome.",
                {{"call", std::string(row.name)}, {"outcome", outcome_name(outcome)}});
        }
    }
}

void metered_store::count(store_call call, std::size_t outcome) {
    calls_.at(static_cast<std::size_t>(call)).at(outcome)->Increment();
}

template <typename Callback>
Callback metered_store::with_metrics(store_call call, Callback done) {
    const boot_time started_at = boot_now();
    return [this, call, started_at, done = std::move(done)](auto&& result) {
        count(call, outcome_of(result));
        if (call != store_call::watch) {
            seconds_.Observe(std::chrono::duration<double>(boot_now() - started_at).count());
        }
        done(std::forward<decltype(result)>(result));
    };
}

void metered_store::get(const std::string& key, milliseconds timeout, get_callback done) {
    store_->get(key, timeout, with_metrics(store_call::get, std::move(done)));
}

void metered_store::list(const std::string& prefix, const std::string& after, milliseconds timeout,
                         page_callback done) {
    store_->list(prefix, after, timeout, with_metrics(store_call::list, std::move(done)));
}

void metered_store::watch(const std::string& prefix, revision_number after, milliseconds wait,
                          changes_callback done) {
    store_->watch(prefix, after, wait, with_metrics(store_call::watch, std::move(done)));
}

void metered_store::commit(const store_transaction& transaction, milliseconds timeout,
                           commit_callback done) {
    store_->commit(transaction, timeout, with_metrics(store_call::commit, std::move(done)));
}

void metered_store::grant_lease(milliseconds time_to_live, milliseconds timeout,
                                lease_callback done) {
    store_->grant_lease(time_to_live, timeout,
                        with_metrics(store_call::grant_lease, std::move(done)));
}

void metered_store::renew_lease(store_lease lease, milliseconds timeout, done_callback done) {
    store_->renew_lease(lease, timeout, with_metrics(store_call::renew_lease, std::move(done)));
}

void metered_store::end_lease(store_lease lease, milliseconds timeout, done_callback done) {
    store_->end_lease(lease, timeout, with_metrics(store_call::end_lease, std::move(done)));
}

} // namespace egretstile::daemon
