#include <egretstile/core/plan/plan_revision_tracker.hpp>
#include <egretstile/core/shard/shard_map.hpp>
#include <egretstile/core/shard/shard_ownership.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

/// Uses two coordination components of the library in a program outside the workspace: the mapping
/// of keys to owners, and the ownership of one shard with its lease terms.
int main() {
    using namespace egretstile;
    const std::vector<entry_id> nodes{"node-a", "node-b", "node-c"};
    const shard_number shard = shard_of("invoice-2026-12-04", default_shard_count);
    const entry_id owner = preferred_entry(shard, nodes).value();
    std::cout << "shard " << shard << " belongs to " << owner << '\n';

    const lease_terms terms;
    shard_ownership ownership(shard, owner, terms);
    const boot_time sent{std::chrono::seconds(100)};
    ownership.claim_sent(1, sent);
    ownership.claim_confirmed(sent, sent + milliseconds(5), "");
    const bool holds = ownership.may_grant(sent + terms.ownership_term / 2);
    const bool expired = !ownership.may_grant(sent + terms.ownership_term);
    std::cout << "may act within the term: " << holds << ", after it: " << !expired << '\n';
    return holds && expired ? EXIT_SUCCESS : EXIT_FAILURE;
}
