#include "allocation_peak.hpp"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace egretstile::testing {

namespace {

std::atomic<std::size_t> in_use{0};
std::atomic<std::size_t> peak{0};

} // namespace

void* count_allocation(std::size_t size) {
    void* const memory =
        std::malloc(std::max<std::size_t>(size, 1)); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    in_use += ::malloc_usable_size(memory);
    peak = std::max(peak.load(), in_use.load());
    return memory;
}

void count_release(void* memory) {
    if (memory != nullptr) {
        in_use -= ::malloc_usable_size(memory);
        std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
    }
}

allocation_peak::allocation_peak()
    : at_start_(in_use) {
    peak = in_use.load();
}

std::size_t allocation_peak::bytes() const {
    return peak - at_start_;
}

} // namespace egretstile::testing

void* operator new(std::size_t size) {
    return egretstile::testing::count_allocation(size);
}

void operator delete(void* memory) noexcept {
    egretstile::testing::count_release(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    egretstile::testing::count_release(memory);
}
