#include "demo_run.hpp"

#include <cstdlib>
#include <exception>
#include <iomanip>
#include <iostream>

int main() {
    constexpr int measure_width = 48;
    constexpr int value_width = 14;
    try {
        egretstile::demo::demo_run demo;
        bool all_met = true;
        for (const egretstile::demo::demo_result& row : demo.run()) {
            all_met = all_met && row.met;
            std::cout << std::left << std::setw(measure_width) << row.measure << std::right
                      << std::setw(value_width) << row.value << "  ";
            if (!row.bound.empty()) {
                std::cout << row.bound << (row.met ? ": kept" : ": BROKEN");
            }
            std::cout << '\n';
        }
        std::cout << (all_met ? "All promises were kept.\n" : "A promise was broken.\n");
        return all_met ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception& error) {
        std::cerr << "demo: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
