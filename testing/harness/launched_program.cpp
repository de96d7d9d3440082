#include "launched_program.hpp"

#include "wait_until.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace egretstile::harness {

namespace {

constexpr std::chrono::seconds ready_timeout{20};
constexpr std::size_t shown_output_bytes = 2000;

std::string read_file(const std::string& path) {
    const std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::map<std::string, std::uint16_t> read_ports(const std::string& path) {
    std::map<std::string, std::uint16_t> ports;
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(read_file(path)).extract<Poco::JSON::Object::Ptr>();
        for (const std::string& name : object->getNames()) {
            ports[name] = object->getValue<std::uint16_t>(name);
        }
    } catch (const Poco::Exception&) {
        // The file does not exist or is incomplete yet.
        ports.clear();
    }
    return ports;
}

} // namespace

std::string program_path(const std::string& name) {
    return std::string(EGRETSTILE_BINARY_DIRECTORY) + "/" + name;
}

launched_program::launched_program(const launch_options& options) {
    std::filesystem::remove(options.ports_file);
    process_ = std::make_unique<process>(options.program, options.arguments, options.output_file);
    wait_ready(options);
}

void launched_program::wait_ready(const launch_options& options) {
    wait_until(
        [&] {
            ports_ = read_ports(options.ports_file);
            return !ports_.empty() || !process_->running();
        },
        ready_timeout);
    if (ports_.empty()) {
        const std::string output = read_file(options.output_file);
        const std::size_t begin =
            output.size() > shown_output_bytes ? output.size() - shown_output_bytes : 0;
        throw std::runtime_error(options.program + " is not ready: " + output.substr(begin));
    }
}

} // namespace egretstile::harness
