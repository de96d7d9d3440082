#include "command/poco_http_client.hpp"
#include "command/run.hpp"

#include <chrono>
#include <cstddef>
#include <exception>
#include <iostream>
#include <iterator>
#include <span>
#include <string>
#include <vector>

int main(int count, char** values) {
    // Longer than the commit of a sheet takes while the key-value service is slow.
    constexpr std::chrono::seconds timeout(10);
    try {
        egretstile::cli::poco_http_client client(timeout);
        const std::span<char*> all(values, static_cast<std::size_t>(count));
        const std::vector<std::string> arguments(std::next(all.begin()), all.end());
        return static_cast<int>(egretstile::cli::run(arguments, client, std::cout, std::cerr));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(egretstile::cli::exit_code::unknown);
    }
}
