#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/bounded_output.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace egretstile {

namespace {

/// A pipe that polls as writable takes this much without waiting.
constexpr std::size_t write_bytes = PIPE_BUF;

bool is_writable(int descriptor) {
    pollfd request{descriptor, POLLOUT, 0};
    return poll(&request, 1, 0) > 0 && (request.revents & POLLOUT) != 0;
}

} // namespace

bounded_output::bounded_output(int descriptor, const output_limits& limits)
    : descriptor_(descriptor)
    , limits_(limits) {}

bounded_output::int_type bounded_output::overflow(int_type character) {
    if (!traits_type::eq_int_type(character, traits_type::eof())) {
        take(traits_type::to_char_type(character));
    }
    return traits_type::not_eof(character);
}

std::streamsize bounded_output::xsputn(const char* text, std::streamsize length) {
    for (std::streamsize index = 0; index < length; ++index) {
        take(text[index]); // NOLINT(cppcoreguidelines-pro-bounds-pointer-arithmetic)
    }
    return length;
}

int bounded_output::sync() {
    write_waiting();
    return 0;
}

void bounded_output::take(char character) {
    line_ += character;
    if (character == '\n') {
        take_line();
    }
}

void bounded_output::take_line() {
    const bool fits = waiting_.size() + line_.size() <= limits_.max_buffered_bytes;
    if (fits && may_write_line()) {
        if (announced_ < left_out_) {
            waiting_ +=
                "log: Left out lines. lines=" + std::to_string(left_out_ - announced_) + "\n";
            announced_ = left_out_;
        }
        waiting_ += line_;
    } else {
        ++left_out_;
    }
    line_.clear();
    write_waiting();
}

bool bounded_output::may_write_line() {
    const boot_time now = boot_now();
    if (now >= second_ + milliseconds(1000)) {
        second_ = now;
        lines_in_second_ = 0;
    }
    return ++lines_in_second_ <= limits_.max_lines_per_second;
}

void bounded_output::write_waiting() {
    while (!waiting_.empty() && is_writable(descriptor_)) {
        const ssize_t written =
            write(descriptor_, waiting_.data(), std::min(waiting_.size(), write_bytes));
        if (written <= 0) {
            return; // The reader has gone; lines are left out once the buffer is full.
        }
        waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace egretstile
