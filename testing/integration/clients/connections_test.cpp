#include "flooded_deployment.hpp"

#include <catch2/catch.hpp>

namespace egretstile::platform::standins {
namespace {

constexpr std::uint32_t max_fds = 256;
/// More than the processes may have descriptors.
constexpr std::size_t slow_clients = 400;
constexpr std::size_t few_bytes = 10;
constexpr std::uint64_t pipelined_bytes = std::uint64_t{16} * 1024;
constexpr std::uint64_t body_bytes = 1000;

open_path each_path() {
    return GENERATE(open_path::routed, open_path::unrouted, open_path::readiness);
}

client_script cut_off(client_script script, std::size_t size) {
    script.opening.resize(size);
    script.repeated_bytes = 0;
    script.ending.clear();
    return script;
}

void check_crowd(flooded_deployment& deployment, const endpoint& address, client_script script) {
    deployment.crowd().add(slow_clients, address, std::move(script));
    deployment.run_crowd();
    deployment.check_afterwards();
}

} // namespace

// Each of these tests guards against a process that opens more descriptors than it may, or that has
// none left for its own connections.

TEST_CASE("more connections than descriptors, without a byte") {
    const open_path path = each_path();
    flooded_deployment deployment(max_fds);
    check_crowd(deployment, deployment.address(path), {});
}

TEST_CASE("clients that stop halfway through a header") {
    const open_path path = each_path();
    flooded_deployment deployment(max_fds);
    check_crowd(deployment, deployment.address(path),
                cut_off(incomplete_body(deployment.target(path), body_bytes), few_bytes));
}

TEST_CASE("clients that stop after a few bytes of a body") {
    const open_path path = each_path();
    flooded_deployment deployment(max_fds);
    client_script script = incomplete_body(deployment.target(path), body_bytes);
    script.repeated_bytes = few_bytes;
    check_crowd(deployment, deployment.address(path), script);
}

TEST_CASE("clients that stop after a few bytes of a response") {
    const open_path path = each_path();
    flooded_deployment deployment(max_fds);
    client_script script = pipelined_requests("", deployment.target(path, "GET"), pipelined_bytes);
    script.read_bytes = few_bytes;
    check_crowd(deployment, deployment.address(path), script);
}

TEST_CASE("more connections than descriptors at an agent's registration address") {
    flooded_deployment deployment(max_fds);
    check_crowd(deployment, deployment.processes().registration_address(0),
                cut_off(incomplete_body({"POST", heartbeat_path("i-0"), "localhost"}, body_bytes),
                        few_bytes));
}

TEST_CASE("more connections than descriptors at the metrics address") {
    flooded_deployment deployment(max_fds);
    check_crowd(deployment, deployment.processes().metrics_address(0), {});
}

} // namespace egretstile::platform::standins
