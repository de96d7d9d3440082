#include "flooded_deployment.hpp"

#include <catch2/catch.hpp>

namespace egretstile::platform::standins {
namespace {

constexpr std::size_t clients_of_kind = 15;
constexpr std::size_t clients_with_large_input = 10;
constexpr std::uint64_t large_body_bytes = std::uint64_t{4} * 1024 * 1024 - 10;
constexpr std::uint64_t legal_body_bytes = 262143;
constexpr std::uint64_t huge_body_bytes = std::uint64_t{4} * 1024 * 1024 * 1024;
constexpr std::uint64_t sent_bytes = std::uint64_t{1024} * 1024;
constexpr std::uint64_t few_bytes = 10;
constexpr const char* earlier_job = "00000000000000d1";
constexpr const char* later_job = "00000000000000d2";

void add_crowd(flooded_deployment& deployment, open_path path) {
    client_crowd& crowd = deployment.crowd();
    const endpoint address = deployment.address(path);
    const request_target post = deployment.target(path);
    const request_target get = deployment.target(path, "GET");
    crowd.add(clients_with_large_input, address, incomplete_body(post, large_body_bytes));
    crowd.add(clients_of_kind, address, incomplete_body(post, legal_body_bytes));
    crowd.add(clients_of_kind, address, incomplete_chunked_body(post, legal_body_bytes));
    crowd.add(clients_of_kind, address, many_json_fields(post, legal_body_bytes));
    crowd.add(clients_of_kind, address, pipelined_requests("", get, sent_bytes));
    client_script over_limit = incomplete_body(post, huge_body_bytes);
    over_limit.repeated_bytes = sent_bytes;
    crowd.add(clients_of_kind, address, over_limit);
    client_script slow = incomplete_body(post, legal_body_bytes);
    slow.repeated_bytes = few_bytes;
    crowd.add(clients_of_kind, address, slow);
}

} // namespace

// Guards against jobs that are lost or refused for good while other clients exceed the limits.
TEST_CASE("a legal caller's jobs are run beside clients of several kinds") {
    flooded_deployment deployment;
    deployment.check_accepted(earlier_job);
    for (const open_path path : {open_path::routed, open_path::unrouted, open_path::readiness}) {
        add_crowd(deployment, path);
    }
    deployment.run_crowd();
    deployment.crowd().finish();
    deployment.check_accepted(later_job);
    deployment.run_crowd();
    deployment.check_completed(earlier_job);
    deployment.check_completed(later_job);
    deployment.check_afterwards();
}

} // namespace egretstile::platform::standins
