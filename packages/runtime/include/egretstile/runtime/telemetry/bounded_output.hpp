#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace egretstile {

struct output_limits {
    /// Bytes that are buffered while nobody reads the output; lines that do not fit are dropped.
    std::size_t max_buffered_bytes{std::size_t{256} * 1024};
    /// Lines per second beyond which lines are dropped. A loaded leader writes about 200.
    std::uint32_t max_lines_per_second{1000};
};

/// Stream buffer that writes whole lines to a file descriptor and never blocks. Lines beyond the
/// limits are dropped and counted, and the next line that is written is preceded by a line with
/// their number. Not thread-safe; the logging library holds a lock while it writes.
class bounded_output : public std::streambuf {
public:
    explicit bounded_output(int descriptor, const output_limits& limits = {});

    /// Number of lines dropped since construction.
    std::uint64_t dropped_lines() const { return dropped_lines_; }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char* text, std::streamsize length) override;
    int sync() override;

private:
    void append_character(char character);
    /// Moves the complete `line_` to the buffer, or drops it when it exceeds a limit.
    void finish_line();
    /// Counts one more line in the current second; returns whether the limit allows it.
    bool consume_line_budget();
    void flush_buffer();

    int descriptor_;
    output_limits limits_;
    std::string line_;
    std::string buffer_;
    std::uint64_t dropped_lines_{0};
    std::uint64_t reported_dropped_lines_{0};
    boot_time window_start_{};
    std::uint32_t lines_in_window_{0};
};

/// Makes a stream write to another stream buffer for the lifetime of this object. Both must outlive
/// it.
class redirected_stream {
public:
    redirected_stream(std::ostream& stream, std::streambuf& target)
        : stream_(stream)
        , previous_(stream.rdbuf(&target)) {}

    redirected_stream(const redirected_stream&) = delete;
    redirected_stream& operator=(const redirected_stream&) = delete;
    redirected_stream(redirected_stream&&) = delete;
    redirected_stream& operator=(redirected_stream&&) = delete;

    ~redirected_stream() { stream_.rdbuf(previous_); }

private:
    std::ostream& stream_;
    std::streambuf* previous_;
};

} // namespace egretstile
