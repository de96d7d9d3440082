#include "flooded_deployment.hpp"

#include <catch2/catch.hpp>

namespace egretstile::platform::standins {
namespace {

/// Just under the limit of the operators' configuration.
constexpr std::uint64_t legal_body_bytes = 262143;
/// Just under the limit of the server.
constexpr std::uint64_t large_body_bytes = std::uint64_t{4} * 1024 * 1024 - 10;
constexpr std::uint64_t huge_body_bytes = std::uint64_t{4} * 1024 * 1024 * 1024;
constexpr std::uint64_t sent_of_huge_body_bytes = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint64_t pipelined_bytes = std::uint64_t{4} * 1024 * 1024;
/// Just under the limit of an agent's registration address.
constexpr std::uint64_t heartbeat_bytes = 65535;
constexpr std::uint64_t endless_header_bytes = std::uint64_t{4} * 1024 * 1024;
constexpr std::size_t legal_header_bytes = 16000;
constexpr std::size_t small_piece_bytes = 200;

/// Numbers of clients whose unlimited input is more than the memory of the processes.
constexpr std::size_t clients_with_legal_input = 200;
constexpr std::size_t clients_with_large_input = 40;
constexpr std::size_t pipelining_clients = 20;

client_script in_small_pieces(client_script script) {
    script.piece = small_piece_bytes;
    return script;
}

open_path each_path() {
    return GENERATE(open_path::routed, open_path::unrouted, open_path::readiness);
}

/// Lets a crowd send its requests up to the ending, then the ending, and checks the processes.
void check_crowd(flooded_deployment& deployment, std::size_t clients, const endpoint& address,
                 client_script script) {
    deployment.crowd().add(clients, address, std::move(script));
    deployment.run_crowd();
    deployment.crowd().finish();
    deployment.run_crowd();
    deployment.check_afterwards();
}

} // namespace

// Each of these tests guards against a process that needs more memory than its machine has, or that
// ends, because of what clients send.

TEST_CASE("bodies of legal size that stop short") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_legal_input, deployment.address(path),
                incomplete_body(deployment.target(path), legal_body_bytes));
}

TEST_CASE("bodies of legal size that stop short, in small pieces") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_legal_input, deployment.address(path),
                in_small_pieces(incomplete_body(deployment.target(path), legal_body_bytes)));
}

TEST_CASE("chunked bodies of legal size that stop short") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_legal_input, deployment.address(path),
                incomplete_chunked_body(deployment.target(path), legal_body_bytes));
}

TEST_CASE("bodies of 4 MB that stop short") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_large_input, deployment.address(path),
                incomplete_body(deployment.target(path), large_body_bytes));
}

TEST_CASE("bodies of 4 MB that stop short, in small pieces") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_large_input, deployment.address(path),
                in_small_pieces(incomplete_body(deployment.target(path), large_body_bytes)));
}

TEST_CASE("chunked bodies of 4 MB that stop short") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_large_input, deployment.address(path),
                incomplete_chunked_body(deployment.target(path), large_body_bytes));
}

TEST_CASE("bodies far over the limit") {
    const open_path path = each_path();
    flooded_deployment deployment;
    client_script script = incomplete_body(deployment.target(path), huge_body_bytes);
    script.repeated_bytes = sent_of_huge_body_bytes;
    check_crowd(deployment, clients_with_large_input, deployment.address(path), script);
}

TEST_CASE("bodies of legal size with very many short fields") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_legal_input, deployment.address(path),
                many_json_fields(deployment.target(path), legal_body_bytes));
}

TEST_CASE("headers of legal size with very many short fields") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_legal_input, deployment.address(path),
                many_header_fields(deployment.target(path, "GET"), legal_header_bytes));
}

TEST_CASE("headers that do not end") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_large_input, deployment.address(path),
                endless_header(deployment.target(path, "GET"), endless_header_bytes));
}

TEST_CASE("pipelined requests whose responses are not read") {
    const open_path path = each_path();
    flooded_deployment deployment;
    check_crowd(deployment, pipelining_clients, deployment.address(path),
                pipelined_requests("", deployment.target(path, "GET"), pipelined_bytes));
}

// Guards against input that is kept while a job cannot be written to the store, and against a stack
// overflow when the requests behind it are all answered at once.
TEST_CASE("pipelined requests behind a job") {
    const open_path path = GENERATE(open_path::routed, open_path::unrouted);
    flooded_deployment deployment;
    const client_script job =
        many_json_fields(flooded_deployment::target(open_path::routed), legal_header_bytes);
    deployment.crowd().add(pipelining_clients, deployment.address(path),
                           pipelined_requests(job.opening + job.ending,
                                              deployment.target(path, "GET"), pipelined_bytes));
    deployment.set_store_available(false);
    deployment.run_crowd();
    deployment.set_store_available(true);
    deployment.run_crowd();
    deployment.check_afterwards();
}

TEST_CASE("bodies that stop short at the metrics address") {
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_large_input, deployment.processes().metrics_address(0),
                incomplete_body({"POST", "/metrics", "localhost"}, large_body_bytes));
}

TEST_CASE("bodies that stop short at an agent's registration address") {
    const std::uint64_t size = GENERATE(heartbeat_bytes, large_body_bytes);
    flooded_deployment deployment;
    check_crowd(deployment, clients_with_legal_input,
                deployment.processes().registration_address(0),
                incomplete_body({"POST", heartbeat_path("i-0"), "localhost"}, size));
}

} // namespace egretstile::platform::standins
