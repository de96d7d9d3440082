#include <egretstile/runtime/telemetry/bounded_output.hpp>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

namespace egretstile {
namespace {

/// A pipe whose reading end the test holds.
class held_pipe {
public:
    held_pipe() { REQUIRE(pipe(ends_.data()) == 0); }

    held_pipe(const held_pipe&) = delete;
    held_pipe& operator=(const held_pipe&) = delete;
    held_pipe(held_pipe&&) = delete;
    held_pipe& operator=(held_pipe&&) = delete;

    ~held_pipe() {
        close(ends_[0]);
        close(ends_[1]);
    }

    int writing_end() const { return ends_[1]; }

    /// All that can be read now.
    std::string read_all() const {
        REQUIRE(fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
        std::string text;
        std::array<char, 4096> chunk{};
        ssize_t received = 0;
        while ((received = read(ends_[0], chunk.data(), chunk.size())) > 0) {
            text.append(chunk.data(), static_cast<std::size_t>(received));
        }
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

const std::string line(99, 'x');

// Guards against a process that hangs because nobody reads its log.
TEST_CASE("an output that nobody reads never blocks and counts what it leaves out") {
    const held_pipe pipe;
    output_limits limits;
    limits.max_lines_per_second = 1000000;
    bounded_output output(pipe.writing_end(), limits);
    std::ostream stream(&output);
    constexpr std::uint64_t lines = 20000;
    for (std::uint64_t number = 0; number < lines; ++number) {
        stream << line << '\n' << std::flush;
    }
    CHECK(output.left_out() > 0);
    pipe.read_all();
    stream << std::flush;
    pipe.read_all();
    stream << "after\n" << std::flush;
    while (stream.good()) {
        const std::string text = pipe.read_all();
        if (text.find("after") != std::string::npos) {
            CHECK(text.find("log: Left out lines. lines=" + std::to_string(output.left_out())) !=
                  std::string::npos);
            break;
        }
        stream << std::flush;
    }
}

// Guards against a log that uses up the processor under load.
TEST_CASE("lines beyond the budget of a second are left out") {
    const held_pipe pipe;
    output_limits limits;
    limits.max_lines_per_second = 10;
    bounded_output output(pipe.writing_end(), limits);
    std::ostream stream(&output);
    for (int number = 0; number < 15; ++number) {
        stream << "line\n";
    }
    CHECK(output.left_out() == 5);
}

} // namespace
} // namespace egretstile
