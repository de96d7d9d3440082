#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/bounded_output.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace egretstile {

namespace {

/// A write of up to this size does not block when poll reports the pipe as writable.
constexpr std::size_t max_write_bytes = PIPE_BUF;

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
        append_character(traits_type::to_char_type(character));
    }
    return traits_type::not_eof(character);
}

std::streamsize bounded_output::xsputn(const char* text, std::streamsize length) {
    for (std::streamsize index = 0; index < length; ++index) {
        append_character(text[index]); // NOLINT(cppcoreguidelines-pro-bounds-pointer-arithmetic)
    }
    return length;
}

int bounded_output::sync() {
    flush_buffer();
    return 0;
}

void bounded_output::append_character(char character) {
    line_ += character;
    if (character == '\n') {
        finish_line();
    }
}

void bounded_output::finish_line() {
    const bool fits = buffer_.size() + line_.size() <= limits_.max_buffered_bytes;
    if (fits && consume_line_budget()) {
        if (reported_dropped_lines_ < dropped_lines_) {
            buffer_ += "log: Left out lines. lines=" +
                       std::to_string(dropped_lines_ - reported_dropped_lines_) + "\n";
            reported_dropped_lines_ = dropped_lines_;
        }
        buffer_ += line_;
    } else {
        ++dropped_lines_;
    }
    line_.clear();
    flush_buffer();
}

bool bounded_output::consume_line_budget() {
    const boot_time now = boot_now();
    if (now >= window_start_ + milliseconds(1000)) {
        window_start_ = now;
        lines_in_window_ = 0;
    }
    return ++lines_in_window_ <= limits_.max_lines_per_second;
}

void bounded_output::flush_buffer() {
    while (!buffer_.empty() && is_writable(descriptor_)) {
        const ssize_t written =
            write(descriptor_, buffer_.data(), std::min(buffer_.size(), max_write_bytes));
        if (written <= 0) {
            return; // The reader closed the pipe; lines are dropped once the buffer is full.
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace egretstile
