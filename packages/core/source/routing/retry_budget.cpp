#include <egretstile/core/routing/retry_budget.hpp>

#include <algorithm>

namespace egretstile {
namespace {

constexpr std::uint64_t attempt_cost = 100;
constexpr std::uint64_t full_balance = retry_budget::burst * attempt_cost;

} // namespace

retry_budget::retry_budget(std::uint32_t percent)
    : percent_(percent)
    , balance_(percent == 0 ? 0 : full_balance) {}

void retry_budget::add_request() {
    balance_ = std::min(full_balance, balance_ + percent_);
}

bool retry_budget::try_spend() {
    if (balance_ < attempt_cost) {
        return false;
    }
    balance_ -= attempt_cost;
    return true;
}

} // namespace egretstile
