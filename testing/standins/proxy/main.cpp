#include "common/http_service.hpp"
#include "common/service_process.hpp"
#include "proxy/proxy_service.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace egretstile::standins;
namespace options = boost::program_options;

constexpr int max_admin_connections = 32;

struct proxy_settings {
    std::uint16_t admin_port{0};
    std::string ports_file;
    std::vector<std::string> links;
};

proxy_settings parse(int argc, char** argv) {
    proxy_settings settings;
    options::options_description description("egretstile-standin-proxy");
    auto add = description.add_options();
    add("admin-port", options::value(&settings.admin_port), "0: chosen by the kernel");
    add("ports-file", options::value(&settings.ports_file), "file for the ports, as JSON");
    add("link", options::value(&settings.links)->composing(), "NAME=LISTEN_PORT:HOST:PORT");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    return settings;
}

std::uint16_t add_link(proxy_service& service, const std::string& text, std::string& name) {
    const std::size_t equals = text.find('=');
    const std::size_t first = text.find(':', equals == std::string::npos ? 0 : equals);
    const std::size_t last = text.rfind(':');
    if (equals == std::string::npos || first == std::string::npos || first == last) {
        throw std::invalid_argument("option link must be NAME=LISTEN_PORT:HOST:PORT, but is " +
                                    text);
    }
    name = text.substr(0, equals);
    const auto listen =
        static_cast<std::uint16_t>(std::stoul(text.substr(equals + 1, first - equals - 1)));
    const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(last + 1)));
    return service.add_link(name, listen, {text.substr(first + 1, last - first - 1), port});
}

} // namespace

int main(int argc, char** argv) {
    block_termination_signals();
    try {
        const proxy_settings settings = parse(argc, argv);
        proxy_service service;
        std::map<std::string, std::uint16_t> ports;
        for (const std::string& link : settings.links) {
            std::string name;
            const std::uint16_t port = add_link(service, link, name);
            ports[name] = port;
        }
        const http_service admin(settings.admin_port, service.routes(), max_admin_connections);
        ports["admin"] = admin.port();
        write_ports_file(settings.ports_file, ports);
        wait_for_termination_signal();
        // Relays run in detached threads that cannot be joined, and there is no state to save.
        std::quick_exit(EXIT_SUCCESS);
    } catch (const std::exception& error) {
        std::cerr << "standin-proxy: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
