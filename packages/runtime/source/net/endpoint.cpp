#include <egretstile/runtime/net/endpoint.hpp>

#include <Poco/Net/IPAddress.h>

#include <charconv>

namespace egretstile {

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    const std::string_view port_text = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string::npos) {
        return std::nullopt;
    }
    Poco::Net::IPAddress address;
    if (!Poco::Net::IPAddress::tryParse(host, address)) {
        return std::nullopt;
    }
    std::uint16_t port{0};
    const char* const end = port_text.data() + port_text.size();
    const std::from_chars_result result = std::from_chars(port_text.data(), end, port);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return endpoint{host, port};
}

std::string to_string(const endpoint& address) {
    const bool is_ipv6 = address.host.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

} // namespace egretstile
