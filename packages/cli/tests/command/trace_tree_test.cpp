#include "command/trace_tree.hpp"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

namespace egretstile::cli {
namespace {

std::string line_of(const std::string& service, const std::string& id, const std::string& parent,
                    int start_ms) {
    const std::string start = std::to_string(start_ms) + "000000";
    const std::string end = std::to_string(start_ms + 2) + "000000";
    return R"({"resourceSpans":[{"resource":{"attributes":[{"key":"service.name","value":)"
           R"({"stringValue":")" +
           service + R"("}}]},"scopeSpans":[{"spans":[{"traceId":"t1","spanId":")" + id +
           R"(","parentSpanId":")" + parent + R"(","name":"hop-)" + id +
           R"(","startTimeUnixNano":")" + start + R"(","endTimeUnixNano":")" + end +
           R"(","attributes":[{"key":"vm","value":{"stringValue":"vm-1"}}]}]}]}]})" + "\n";
}

trace_tree tree_of(const std::string& text) {
    std::istringstream input(text);
    return read_trace(input);
}

TEST_CASE("spans stand below their parents in the order of time, whatever the order of lines") {
    const trace_tree tree = tree_of(line_of("agent", "c", "a", 7) + line_of("agent", "d", "b", 6) +
                                    line_of("agent", "b", "a", 5) + line_of("entry", "a", "", 4));
    CHECK(tree.text == "trace t1\n"
                       "  entry: hop-a 2.000 ms vm=vm-1\n"
                       "    agent: hop-b 2.000 ms vm=vm-1\n"
                       "      agent: hop-d 2.000 ms vm=vm-1\n"
                       "    agent: hop-c 2.000 ms vm=vm-1\n");
}

TEST_CASE("a cut last line of a killed process does not hide the other spans") {
    const std::string whole = line_of("entry", "a", "", 4);
    const trace_tree tree = tree_of(whole + whole.substr(0, 60));
    CHECK(tree.spans == 1);
    CHECK(tree.skipped_lines == 1);
    CHECK(tree.text.find("hop-a") != std::string::npos);
}

TEST_CASE("a span whose parent is in another file, or a loop of parents, is still printed once") {
    const trace_tree tree =
        tree_of(line_of("agent", "b", "elsewhere", 5) + line_of("agent", "x", "y", 6) +
                line_of("agent", "y", "x", 7) + line_of("agent", "z", "z", 8));
    for (const std::string name : {"hop-b", "hop-x", "hop-y", "hop-z"}) {
        CAPTURE(name);
        CHECK(tree.text.find(name) != std::string::npos);
        CHECK(tree.text.find(name) == tree.text.rfind(name));
    }
}

} // namespace
} // namespace egretstile::cli
