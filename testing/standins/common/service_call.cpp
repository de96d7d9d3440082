#include "common/service_call.hpp"

namespace egretstile::standins {

std::string service_call::text(const std::string& name, const std::string& default_value) const {
    const auto found = query.find(name);
    return found == query.end() ? default_value : found->second;
}

std::uint64_t service_call::number(const std::string& name, std::uint64_t default_value) const {
    const auto found = query.find(name);
    return found == query.end() ? default_value : std::stoull(found->second);
}

std::string service_call::header(const std::string& lower_case_name) const {
    const auto found = headers.find(lower_case_name);
    return found == headers.end() ? std::string() : found->second;
}

service_answer reason_answer(int status, const std::string& text) {
    service_answer answer;
    answer.status = status;
    answer.body = R"({"reason":")" + text + R"("})";
    return answer;
}

} // namespace egretstile::standins
