#include "common/http_service.hpp"
#include "common/service_process.hpp"
#include "kv/key_value_service.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using namespace egretstile::standins;
namespace options = boost::program_options;

// Each waiting watch occupies a connection. A deployment with a few entries needs far fewer than
// this.
constexpr int max_connections = 256;

struct kv_settings {
    std::uint16_t port{0};
    std::string ports_file;
    key_value_limits limits;
};

kv_settings parse(int argc, char** argv) {
    kv_settings settings;
    options::options_description description("egretstile-standin-kv");
    description.add_options()("port", options::value(&settings.port),
                              "port; 0: chosen by the kernel")(
        "ports-file", options::value(&settings.ports_file), "file for the chosen port, as JSON")(
        "writes-per-second", options::value(&settings.limits.writes_per_second),
        "rate limit of writes")(
        "reads-per-second", options::value(&settings.limits.reads_per_second),
        "rate limit of reads")("max-value-bytes", options::value(&settings.limits.max_value_bytes),
                               "maximum size of a value");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    return settings;
}

} // namespace

int main(int argc, char** argv) {
    block_termination_signals();
    try {
        const kv_settings settings = parse(argc, argv);
        key_value_service service(settings.limits);
        const http_service server(settings.port, service.routes(), max_connections);
        write_ports_file(settings.ports_file, {{"kv", server.port()}});
        wait_for_termination_signal();
        // An orderly shutdown would wait for open watches, and there is no state to save.
        std::quick_exit(EXIT_SUCCESS);
    } catch (const std::exception& error) {
        std::cerr << "standin-kv: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
