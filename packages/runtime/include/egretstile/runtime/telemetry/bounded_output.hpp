#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace egretstile {

struct output_limits {
    /// Bytes that wait for a reader of the output; what comes beyond is left out.
    std::size_t max_buffered_bytes{std::size_t{256} * 1024};
    /// Lines a second; a loaded leader of the present deployments writes about 200.
    std::uint32_t max_lines_per_second{1000};
};

/// Writes whole lines to a file descriptor and never waits for it: lines that find no room are
/// counted and left out, and a line says so later. For one thread at a time; the log's library
/// holds a lock.
class bounded_output : public std::streambuf {
public:
    explicit bounded_output(int descriptor, const output_limits& limits = {});

    /// Lines that were left out since the start.
    std::uint64_t left_out() const { return left_out_; }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char* text, std::streamsize length) override;
    int sync() override;

private:
    void take(char character);
    void take_line();
    bool may_write_line();
    void write_waiting();

    int descriptor_;
    output_limits limits_;
    std::string line_;
    std::string waiting_;
    std::uint64_t left_out_{0};
    std::uint64_t announced_{0};
    boot_time second_{};
    std::uint32_t lines_in_second_{0};
};

/// Sends a stream to a `bounded_output` while it lives.
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
