#include "test_seed.hpp"

#include <egretstile/wire/frame/frame_codec.hpp>
#include <egretstile/wire/message/message_codec.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <string>

namespace egretstile::wire {
namespace {

const std::string key = "frame key";

message sample_message() {
    heartbeat value;
    value.sequence = 7;
    value.vm = "ub-north-1";
    value.runs.push_back({{"reconcile-1", 2}, 3, run_phase::running, "checkpoint", ""});
    return value;
}

// Guards against a frame being decoded wrongly or too early when it arrives in several pieces.
TEST_CASE("a frame received byte by byte decodes to the message that was sent") {
    frame_encoder encoder(key);
    frame_decoder decoder(key);
    const std::string bytes = encoder.encode(sample_message());
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        decoder.append(bytes.substr(i, 1));
        REQUIRE_FALSE(decoder.next().has_value());
    }
    decoder.append(bytes.substr(bytes.size() - 1));
    const std::variant<message, frame_error> result = decoder.next().value();
    const heartbeat& received = std::get<heartbeat>(std::get<message>(result));
    CHECK(received.vm == "ub-north-1");
    REQUIRE(received.runs.size() == 1);
    CHECK(received.runs.front().run == task_run{"reconcile-1", 2});
}

// Guards against an agent's counts of recent ends that do not reach the leader, or change places.
TEST_CASE("a report keeps its counts of recent ends") {
    vm_report report;
    report.vm = "vm";
    report.recent_done = 3;
    report.recent_failed = 8;
    frame_encoder encoder(key);
    frame_decoder decoder(key);
    decoder.append(encoder.encode(report));
    const std::variant<message, frame_error> result = decoder.next().value();
    const vm_report& received = std::get<vm_report>(std::get<message>(result));
    CHECK(received.recent_done == 3);
    CHECK(received.recent_failed == 8);
}

// Guards against an attacker or a faulty peer replaying, reordering or forging frames, and against
// a decoder that continues after an error.
TEST_CASE("a repeated or reordered frame or one with another key is refused") {
    frame_encoder encoder(key);
    const std::string first = encoder.encode(sample_message());
    const std::string second = encoder.encode(sample_message());

    frame_decoder repeated(key);
    repeated.append(first + first);
    REQUIRE(std::holds_alternative<message>(repeated.next().value()));
    CHECK(std::get<frame_error>(repeated.next().value()) == frame_error::wrong_mac);

    frame_decoder reordered(key);
    reordered.append(second);
    CHECK(std::get<frame_error>(reordered.next().value()) == frame_error::wrong_mac);

    frame_decoder foreign("another key");
    foreign.append(first);
    CHECK(std::get<frame_error>(foreign.next().value()) == frame_error::wrong_mac);
    foreign.append(second);
    CHECK(std::get<frame_error>(foreign.next().value()) == frame_error::wrong_mac);
}

// Guards against malformed bytes crashing the process or making it allocate by a length that the
// sender declared.
TEST_CASE("decoders survive any bytes without a crash or a large allocation") {
    std::mt19937_64 random(testing::test_seed());
    const std::size_t types = std::variant_size_v<message>;
    const std::string valid = encode_message(sample_message());
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = round % 2 == 0 ? valid : std::string(random() % 200, '\0');
        const std::size_t changes = 1 + random() % 8;
        for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(random() % (bytes.size() + 1));
        static_cast<void>(decode_message(static_cast<std::uint8_t>(random() % (types + 2)), bytes));
        frame_decoder decoder(key);
        decoder.append(bytes);
        static_cast<void>(decoder.next());
    }
}

} // namespace
} // namespace egretstile::wire
