#include <egretstile/runtime/http/memory_budget.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

constexpr std::size_t mb = std::size_t{1024} * 1024;

} // namespace

// Guards against shares that together leave no memory for the process itself, the kernel's socket
// buffers and the allocator.
TEST_CASE("the shares of all addresses leave half of the memory") {
    for (const std::uint32_t memory_mb : {64U, 128U, 160U, 4096U}) {
        const memory_budget budget(memory_mb, 0);
        std::size_t total = 0;
        for (const enum_name<http_address>& row : http_address_names) {
            total += budget.share(row.value).limit();
        }
        CHECK(total <= memory_mb * mb / 2);
        CHECK(budget.share(http_address::callers).limit() <= memory_mb * mb / 3);
    }
}

// Guards against settings without a size that lead to no limit at all, or to one of zero.
TEST_CASE("without a known size the smallest VM is assumed") {
    const memory_budget unknown(0, 0);
    const memory_budget smallest(160, 4096);
    for (const enum_name<http_address>& row : http_address_names) {
        CHECK(unknown.share(row.value).limit() == smallest.share(row.value).limit());
        CHECK(unknown.max_connections(row.value) == smallest.max_connections(row.value));
    }
}

// Guards against an entry that refuses connections of the several hundred callers it serves.
TEST_CASE("the smallest VM serves several hundred callers and keeps descriptors for others") {
    const memory_budget budget(160, 4100);
    CHECK(budget.max_connections(http_address::callers) >= 900);
    std::size_t connections = budget.max_handshakes();
    for (const enum_name<http_address>& row : http_address_names) {
        connections += budget.max_connections(row.value);
    }
    CHECK(connections <= 4100 / 2);
}

// Guards against clients of one address that use up the memory of another.
TEST_CASE("a full share refuses more bytes and leaves the others alone") {
    memory_budget budget(160, 4096);
    memory_share& callers = budget.share(http_address::callers);
    CHECK_FALSE(callers.is_short());
    callers.change(0, callers.limit());
    CHECK(callers.is_short());
    CHECK(callers.can_hold(0));
    CHECK_FALSE(callers.can_hold(1));
    CHECK(budget.share(http_address::registration).can_hold(4 * mb));
    callers.change(callers.limit(), 10);
    CHECK(callers.used() == 10);
    CHECK(callers.can_hold(callers.limit() - 10));
}

// Guards against an arithmetic overflow when accepted requests exceed the share.
TEST_CASE("a share that is exceeded holds nothing more") {
    memory_share share(100);
    share.change(0, 150);
    CHECK_FALSE(share.can_hold(0));
    CHECK_FALSE(share.can_hold(static_cast<std::size_t>(-1)));
}

} // namespace egretstile
