#include <egretstile/runtime/telemetry/log.hpp>

#include <catch2/catch.hpp>

#include <iostream>
#include <regex>
#include <sstream>
#include <string>

namespace egretstile::daemon {
namespace {

/// Collects what is written to standard error during its life.
class captured_errors {
public:
    captured_errors()
        : previous_(std::cerr.rdbuf(buffer_.rdbuf())) {}

    captured_errors(const captured_errors&) = delete;
    captured_errors& operator=(const captured_errors&) = delete;
    captured_errors(captured_errors&&) = delete;
    captured_errors& operator=(captured_errors&&) = delete;

    ~captured_errors() { std::cerr.rdbuf(previous_); }

    std::string text() const { return buffer_.str(); }

private:
    std::ostringstream buffer_;
    std::streambuf* previous_;
};

TEST_CASE("a log line has the documented form, so that log collectors can split it") {
    start_logging(log_level::info);
    const captured_errors errors;
    write_log(log_part::task, log_level::warning, "Start was refused.", "key=a vm=vm-1");
    const std::regex form(
        R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z warning task: Start was refused\. key=a vm=vm-1\n)");
    CAPTURE(errors.text());
    CHECK(std::regex_match(errors.text(), form));
}

TEST_CASE("levels below the threshold are dropped") {
    start_logging(log_level::warning);
    const captured_errors errors;
    write_log(log_part::net, log_level::debug, "Hidden.");
    write_log(log_part::net, log_level::info, "Hidden.");
    write_log(log_part::net, log_level::error, "Shown.");
    CHECK(errors.text().find("Hidden") == std::string::npos);
    CHECK(errors.text().find("error net: Shown.\n") != std::string::npos);
    start_logging(log_level::info);
}

TEST_CASE("text from a peer cannot forge a log line or a format specifier") {
    start_logging(log_level::info);
    const captured_errors errors;
    write_log(log_part::net, log_level::info, "Peer said x\n2026 error task: %msg %utc_time %v.");
    const std::string text = errors.text();
    CHECK(text.find('\n') == text.size() - 1);
    CHECK(text.find("%msg %utc_time %v.") != std::string::npos);
}

} // namespace
} // namespace egretstile::daemon
