#include <egretstile/runtime/http/http_message.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <cstddef>
#include <sstream>

namespace egretstile {

namespace {

/// A parsed parameter needs many times the memory of a short one in the request.
constexpr std::ptrdiff_t max_query_separators = 255;

std::optional<http_head> read_framing(const Poco::Net::HTTPMessage& message, std::size_t bytes) {
    http_head head;
    head.bytes = bytes;
    head.chunked = message.getChunkedTransferEncoding();
    head.keep_alive = message.getKeepAlive();
    if (message.hasContentLength()) {
        const std::streamsize length = message.getContentLength();
        if (length < 0) {
            return std::nullopt;
        }
        head.content_length = static_cast<std::size_t>(length);
    }
    return head;
}

http_headers lower_case_headers(const Poco::Net::HTTPMessage& message) {
    http_headers headers;
    for (const auto& [name, value] : message) {
        headers[Poco::toLower(name)] = value;
    }
    return headers;
}

std::string target_of(const http_request& request) {
    if (request.query.empty()) {
        return request.path;
    }
    std::string target = request.path;
    char separator = '?';
    for (const auto& [name, value] : request.query) {
        std::string encoded;
        Poco::URI::encode(value, "&=+?#/", encoded);
        target.append(1, separator).append(name).append(1, '=').append(encoded);
        separator = '&';
    }
    return target;
}

} // namespace

std::string http_request::header(const std::string& name, const std::string& fallback) const {
    const auto found = headers.find(name);
    return found == headers.end() ? fallback : found->second;
}

std::optional<http_head> parse_request_head(std::string_view text, http_request& request) {
    try {
        std::istringstream stream{std::string(text)};
        Poco::Net::HTTPRequest parsed;
        parsed.read(stream);
        request.method = parsed.getMethod();
        request.headers = lower_case_headers(parsed);
        const std::string& target = parsed.getURI();
        const std::size_t question = target.find('?');
        request.path = target.substr(0, question);
        if (question != std::string::npos) {
            if (std::count(target.begin(), target.end(), '&') > max_query_separators) {
                return std::nullopt;
            }
            for (const auto& [name, value] :
                 Poco::URI("http://h/" + target.substr(question)).getQueryParameters()) {
                request.query[name] = value;
            }
        }
        return read_framing(parsed, text.size());
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<http_head> parse_response_head(std::string_view text, http_response& response) {
    try {
        std::istringstream stream{std::string(text)};
        Poco::Net::HTTPResponse parsed;
        parsed.read(stream);
        response.status = static_cast<int>(parsed.getStatus());
        response.headers = lower_case_headers(parsed);
        return read_framing(parsed, text.size());
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::string format_request(const http_request& request, const std::string& host) {
    std::string text =
        request.method + ' ' + target_of(request) + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || request.method == Poco::Net::HTTPRequest::HTTP_POST) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string format_response(const http_response& response, bool keep_alive) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
                       Poco::Net::HTTPResponse::getReasonForStatus(
                           static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status)) +
                       "\r\n";
    for (const auto& [name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += keep_alive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    return text + "\r\n" + response.body;
}

} // namespace egretstile
